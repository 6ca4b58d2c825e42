// Package forecaster predicts how long an engine takes for a prompt, and when
// it will have read the prompts that it has, from its published figures and
// from what it has been given.
package forecaster

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// million converts pairs to the unit of EngineFigures.ReadPairs.
	million = 1e6
	// thousand converts tokens to the unit of EngineFigures.StepContext.
	thousand = 1e3
	// usualWriters is the number of sequences that are assumed to be generated
	// beside an answer.
	usualWriters = 8
	// overdueShare and overdueMax bound what is assumed to be left of a prompt
	// that should have been read already.
	overdueShare = 0.2
	overdueMax   = 200 * time.Millisecond
)

// Reading returns the engine time that one of parts equal parts of a prompt
// takes. Each part has its share of the pairs of the whole prompt.
func Reading(fi *ml.EngineFigures, prompt ml.Tokens, parts int) time.Duration {
	n, k := float64(prompt), float64(max(parts, 1))
	d := time.Duration(0)
	if fi.ReadRate > 0 {
		d += time.Duration(n / k / fi.ReadRate * float64(time.Second))
	}
	d += time.Duration(n * n / 2 / k / million * float64(fi.ReadPairs))
	if fi.Chunk > 0 {
		d += time.Duration(n / k / float64(fi.Chunk) * float64(fi.Step))
	}
	return d
}

// Writing returns the engine time for an answer.
func Writing(fi *ml.EngineFigures, prompt, answer ml.Tokens) time.Duration {
	step := fi.Step + usualWriters*fi.StepSequence + time.Duration(float64(prompt)/thousand*float64(fi.StepContext))
	return time.Duration(answer) * step
}

// Pass returns the time between two events of a sequence when nothing is read.
func Pass(fi *ml.EngineFigures, writers int, context ml.Tokens) time.Duration {
	step := fi.Step + time.Duration(writers)*fi.StepSequence + time.Duration(float64(context)/thousand*float64(fi.StepContext))
	return time.Duration(max(fi.Stride, 1)) * step
}

// MostRead returns the longest time that reading can take within one pass over
// a prompt of the given length.
func MostRead(fi *ml.EngineFigures, prompt ml.Tokens, reading time.Duration) time.Duration {
	inPass := ml.Tokens(max(fi.Stride, 1)) * fi.Chunk
	if fi.Chunk == 0 || prompt <= inPass {
		return reading
	}
	return time.Duration(float64(reading) * float64(inPass) / float64(prompt))
}

// Reader is a prompt that an engine reads or is going to read.
type Reader struct {
	Flight ml.Flight
	Done   time.Time // when it is predicted to be read
}

// Engine is the predicted state of an engine at one moment.
type Engine struct {
	Free    time.Time // when all prompts that it has are read
	Parts   time.Time // when the parts of prompts that it reads for others are
	Readers []Reader  // in the order in which they are read
	Writers []ml.Flight
	Memory  ml.Tokens
	Context ml.Tokens // of the sequences that are being generated
}

// Running returns how many places of the engine are taken. Parts that it reads
// for others take none.
func (en *Engine) Running() int {
	n := len(en.Writers)
	for _, re := range en.Readers {
		if !re.Flight.Helper {
			n++
		}
	}
	return n
}

// At returns the state of an engine at now, given its flights.
func At(now time.Time, flights []ml.Flight) Engine {
	en := Engine{Free: now, Parts: now}
	began := time.Time{}
	for _, fl := range flights {
		en.Memory += fl.Memory
		if fl.Began.IsZero() {
			en.Readers = append(en.Readers, Reader{Flight: fl})
			continue
		}
		if fl.Began.After(began) {
			began = fl.Began
		}
		en.Writers = append(en.Writers, fl)
		en.Context += fl.Memory
	}
	slices.SortFunc(en.Readers, func(a, b Reader) int {
		return cmp.Or(after(a.Flight.Helper)-after(b.Flight.Helper), a.Flight.Sent.Compare(b.Flight.Sent), cmp.Compare(a.Flight.ID, b.Flight.ID))
	})
	en.chain(now, began)
	return en
}

// after orders parts that are read for others before whole prompts.
func after(helper bool) int {
	if helper {
		return 0
	}
	return 1
}

// chain predicts when each prompt is read: one after the other.
func (en *Engine) chain(now, began time.Time) {
	end := time.Time{}
	for i := range en.Readers {
		fl := &en.Readers[i].Flight
		start := later(fl.Sent, end)
		if i == 0 && began.After(start) && began.Sub(start) < fl.Reading {
			start = began
		}
		end = start.Add(fl.Reading)
		if end.Before(now) {
			left := time.Duration(overdueShare * float64(fl.Reading))
			end = now.Add(min(left, overdueMax))
		}
		en.Readers[i].Done = end
		if fl.Helper {
			en.Parts = later(now, end)
		}
	}
	en.Free = later(now, end)
}

// Backlog returns the reading that the engine has before it at now.
func (en *Engine) Backlog(now time.Time) time.Duration { return en.Free.Sub(now) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
