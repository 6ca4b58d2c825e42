// Package answerer computes the answers of the stand-in engine. The text is a
// function of the prompt and the position, so that a reader can tell a
// mixed-up, short or doubled answer.
package answerer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Answerer computes the answer to one prompt.
type Answerer struct {
	seed uint64
}

// New returns the answerer for prompt.
func New(prompt string) Answerer {
	return Answerer{seed: xxhash.Sum64String(prompt)}
}

// Token returns the text of the token at position, 1 for the first.
func (an Answerer) Token(position int64) string {
	h := (an.seed ^ uint64(position)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return " " + strconv.FormatUint(h>>40, 36)
}
