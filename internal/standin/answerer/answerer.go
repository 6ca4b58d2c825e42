// Package answerer computes the answers of the stand-in engine. The text of a token
// depends only on the prompt and the token's position, so that the load tool can
// detect answers that are mixed up, truncated or duplicated.
package answerer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Answerer computes the answer to one prompt.
type Answerer struct {
	seed uint64
}

// New returns the Answerer for a prompt.
func New(prompt string) Answerer {
	return Answerer{seed: xxhash.Sum64String(prompt)}
}

// Token returns the text of the token at a position. The first position is 1.
func (an Answerer) Token(position int64) string {
	hash := (an.seed ^ uint64(position)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return " " + strconv.FormatUint(hash>>40, 36)
}
