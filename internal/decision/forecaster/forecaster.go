// Package forecaster predicts the processing times of prompts and answers at an
// engine, and when an engine will have prefilled its pending prompts. It uses the
// engine's published profile and its in-flight requests.
package forecaster

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// pairUnit converts token pairs to the unit of EngineProfile.PrefillPerMillionPairs.
	pairUnit = 1e6
	// contextUnit converts tokens to the unit of EngineProfile.StepPerKiloToken.
	contextUnit = 1e3
	// assumedBatchSize is the number of sequences assumed to run while an answer
	// is generated.
	assumedBatchSize = 8
	// overduePrefillShare and maxOverduePrefill limit the work assumed to remain
	// for a prompt whose prefill should already be done. The first is a share of
	// its prefill time.
	overduePrefillShare = 0.2
	maxOverduePrefill   = 200 * time.Millisecond
)

// PrefillTime returns the engine time to prefill one of several equal parts of a
// prompt. The cost of attention over the whole prompt is divided evenly among the
// parts.
func PrefillTime(pr *ml.EngineProfile, prompt ml.Tokens, parts int) time.Duration {
	n, k := float64(prompt), float64(max(parts, 1))
	d := time.Duration(0)
	if pr.PrefillRate > 0 {
		d += time.Duration(n / k / pr.PrefillRate * float64(time.Second))
	}
	d += time.Duration(n * n / 2 / k / pairUnit * float64(pr.PrefillPerMillionPairs))
	if pr.Chunk > 0 {
		d += time.Duration(n / k / float64(pr.Chunk) * float64(pr.Step))
	}
	return d
}

// DecodeTime returns the engine time to generate an answer.
func DecodeTime(pr *ml.EngineProfile, prompt, answer ml.Tokens) time.Duration {
	step := pr.Step + assumedBatchSize*pr.StepPerSequence + time.Duration(float64(prompt)/contextUnit*float64(pr.StepPerKiloToken))
	return time.Duration(answer) * step
}

// PassTime returns the time between two events of a sequence while the engine
// prefills nothing.
func PassTime(pr *ml.EngineProfile, sequences int, context ml.Tokens) time.Duration {
	step := pr.Step + time.Duration(sequences)*pr.StepPerSequence + time.Duration(float64(context)/contextUnit*float64(pr.StepPerKiloToken))
	return time.Duration(max(pr.StepsPerPass, 1)) * step
}

// MaxPrefillPerPass returns the maximum time that an engine spends within one
// pass on the prefill of a prompt, given the time for the whole prompt.
func MaxPrefillPerPass(pr *ml.EngineProfile, prompt ml.Tokens, prefill time.Duration) time.Duration {
	passTokens := ml.Tokens(max(pr.StepsPerPass, 1)) * pr.Chunk
	if pr.Chunk == 0 || prompt <= passTokens {
		return prefill
	}
	return time.Duration(float64(prefill) * float64(passTokens) / float64(prompt))
}

// PendingPrefill is a prompt, or a part of one, that an engine has not prefilled
// yet.
type PendingPrefill struct {
	Flight ml.Flight
	DoneAt time.Time // predicted end of the prefill
}

// EngineState is the predicted state of an engine at one moment.
type EngineState struct {
	PrefillDoneAt time.Time        // predicted end of all pending prefills
	Pending       []PendingPrefill // in processing order
	Decoding      []ml.Flight
	Memory        ml.Tokens // of all flights
	Context       ml.Tokens // of the flights in Decoding
}

// UsedSlots returns the number of occupied slots. Parts prefilled for another
// engine's answer don't occupy one.
func (es *EngineState) UsedSlots() int {
	n := len(es.Decoding)
	for _, pp := range es.Pending {
		if !pp.Flight.Helper {
			n++
		}
	}
	return n
}

// Backlog returns the engine time of all pending prefills at now.
func (es *EngineState) Backlog(now time.Time) time.Duration { return es.PrefillDoneAt.Sub(now) }

// work is a flight with its remaining prefill time.
type work struct {
	flight    *ml.Flight
	remaining time.Duration
}

// Predict returns the state of an engine at now, given its flights. An engine
// prefills whole prompts in the order of their arrival. A part of a prompt that
// several engines prefill goes ahead of everything in the engine's queue.
func Predict(now time.Time, flights []ml.Flight) EngineState {
	es := EngineState{}
	all := make([]work, len(flights))
	for i := range flights {
		fl := &flights[i]
		all[i] = work{fl, fl.PrefillTime}
		es.Memory += fl.Memory
		if !fl.FirstEventAt.IsZero() {
			es.Decoding = append(es.Decoding, *fl)
			es.Context += fl.Memory
		}
	}
	slices.SortFunc(all, func(a, b work) int {
		return cmp.Or(a.flight.SentAt.Compare(b.flight.SentAt), cmp.Compare(a.flight.ID, b.flight.ID))
	})
	queue := remainingWork(now, all)
	end := now
	for _, wo := range queue {
		if wo.flight.FirstEventAt.IsZero() {
			end = end.Add(wo.remaining)
			es.Pending = append(es.Pending, PendingPrefill{Flight: *wo.flight, DoneAt: end})
		}
	}
	es.PrefillDoneAt = end
	return es
}

// remainingWork replays the engine's processing of all, sorted by arrival, up to
// now. It returns the work in processing order.
func remainingWork(now time.Time, all []work) []*work {
	queue := []*work{}
	for i := range all {
		queue = enqueue(queue, &all[i])
		next := now
		if i+1 < len(all) {
			next = all[i+1].flight.SentAt
		}
		process(queue, next.Sub(all[i].flight.SentAt))
	}
	for _, wo := range queue {
		if wo.remaining <= 0 { // overdue
			wo.remaining = min(time.Duration(overduePrefillShare*float64(wo.flight.PrefillTime)), maxOverduePrefill)
		}
	}
	return queue
}

// enqueue inserts new work at its position in the engine's processing order.
func enqueue(queue []*work, wo *work) []*work {
	if wo.flight.Partial {
		return slices.Insert(queue, 0, wo)
	}
	return append(queue, wo)
}

// process subtracts engine time from the queued work, in order.
func process(queue []*work, d time.Duration) {
	for _, wo := range queue {
		part := min(max(d, 0), wo.remaining)
		wo.remaining -= part
		d -= part
	}
}
