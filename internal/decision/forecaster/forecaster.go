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

// PrefillTime returns the engine time that one of parts equal parts of a prompt
// takes. Each part has its share of the pairs of the whole prompt.
func PrefillTime(fi *ml.EngineProfile, prompt ml.Tokens, parts int) time.Duration {
	n, k := float64(prompt), float64(max(parts, 1))
	d := time.Duration(0)
	if fi.PrefillRate > 0 {
		d += time.Duration(n / k / fi.PrefillRate * float64(time.Second))
	}
	d += time.Duration(n * n / 2 / k / million * float64(fi.PrefillPerMillionPairs))
	if fi.Chunk > 0 {
		d += time.Duration(n / k / float64(fi.Chunk) * float64(fi.Step))
	}
	return d
}

// DecodeTime returns the engine time for an answer.
func DecodeTime(fi *ml.EngineProfile, prompt, answer ml.Tokens) time.Duration {
	step := fi.Step + usualWriters*fi.StepPerSequence + time.Duration(float64(prompt)/thousand*float64(fi.StepPerKiloToken))
	return time.Duration(answer) * step
}

// Pass returns the time between two events of a sequence when nothing is read.
func Pass(fi *ml.EngineProfile, writers int, context ml.Tokens) time.Duration {
	step := fi.Step + time.Duration(writers)*fi.StepPerSequence + time.Duration(float64(context)/thousand*float64(fi.StepPerKiloToken))
	return time.Duration(max(fi.StepsPerPass, 1)) * step
}

// MostRead returns the longest time that reading can take within one pass over
// a prompt of the given length.
func MostRead(fi *ml.EngineProfile, prompt ml.Tokens, reading time.Duration) time.Duration {
	inPass := ml.Tokens(max(fi.StepsPerPass, 1)) * fi.Chunk
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
	Readers []Reader  // in the order in which they are going to be read
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

// Backlog returns the reading that the engine has before it at now.
func (en *Engine) Backlog(now time.Time) time.Duration { return en.Free.Sub(now) }

// work is a flight with the reading that is left of it.
type work struct {
	flight *ml.Flight
	left   time.Duration
}

// At returns the state of an engine at now, given its flights. An engine reads
// whole prompts one after the other; a part of a prompt that several engines
// read goes ahead of all that it has.
func At(now time.Time, flights []ml.Flight) Engine {
	en := Engine{}
	all := make([]work, len(flights))
	for i := range flights {
		fl := &flights[i]
		all[i] = work{fl, fl.PrefillTime}
		en.Memory += fl.Memory
		if !fl.FirstEventAt.IsZero() {
			en.Writers = append(en.Writers, *fl)
			en.Context += fl.Memory
		}
	}
	slices.SortFunc(all, func(a, b work) int {
		return cmp.Or(a.flight.SentAt.Compare(b.flight.SentAt), cmp.Compare(a.flight.ID, b.flight.ID))
	})
	queue := readUntil(now, all)
	end := now
	for _, wo := range queue {
		if wo.flight.FirstEventAt.IsZero() {
			end = end.Add(wo.left)
			en.Readers = append(en.Readers, Reader{Flight: *wo.flight, Done: end})
		}
	}
	en.Free = end
	return en
}

// readUntil returns what is left at now of work that came in the given order,
// in the order in which it is going to be read.
func readUntil(now time.Time, all []work) []*work {
	queue := []*work{}
	for i := range all {
		queue = insert(queue, &all[i])
		next := now
		if i+1 < len(all) {
			next = all[i+1].flight.SentAt
		}
		spend(queue, next.Sub(all[i].flight.SentAt))
	}
	for _, wo := range queue {
		if wo.left <= 0 { // should have been read by now
			wo.left = min(time.Duration(overdueShare*float64(wo.flight.PrefillTime)), overdueMax)
		}
	}
	return queue
}

// insert puts new work where the engine reads it.
func insert(queue []*work, wo *work) []*work {
	if wo.flight.Partial {
		return slices.Insert(queue, 0, wo)
	}
	return append(queue, wo)
}

// spend takes engine time off the work, in order.
func spend(queue []*work, d time.Duration) {
	for _, wo := range queue {
		part := min(max(d, 0), wo.left)
		wo.left -= part
		d -= part
	}
}
