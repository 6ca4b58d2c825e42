package granter

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// hold is a grant that is not yet known to have ended.
type hold struct {
	ask       Request
	granted   time.Time
	confirmed bool      // accepted by the endpoint
	accepted  time.Time // when its holder told so
	before    ml.Tokens // prompt tokens ahead of it then, with its own
	prefill   ml.Tokens // prompt tokens still to be processed
	kept      time.Time // when the holder last answered for it
	missing   int       // reports in a row that did not list it
	overdue   int       // reports in a row that listed it though nobody answers for it
	started   bool      // its first token came: its prompt is processed
	adopted   bool      // found at the engine after a change of owner
}

// Confirm records that the endpoint accepted the request.
func (gr *Granter) Confirm(now time.Time, id ml.GrantID, in ml.Incarnation) {
	gr.Limiter.ObserveIncarnation(in)
	if ho := gr.holds[id]; ho != nil {
		ho.confirmed = true
		ho.kept, ho.accepted = now, now
		ho.before = gr.prefillBefore(ho.ask.Length)
	}
}

// Started records that the first token came: the prompt is processed. The time
// that this took tells how fast the engine processes prompts in its batch.
func (gr *Granter) Started(now time.Time, id ml.GrantID) {
	ho := gr.holds[id]
	if ho == nil || ho.started {
		return
	}
	ho.started, ho.prefill = true, 0
	ho.kept = now
	took := now.Sub(ho.accepted).Seconds()
	if ho.accepted.IsZero() || ho.before < minSample || took <= 0 {
		return
	}
	const old, fresh = 0.9, 0.1 // weights of the moving average
	gr.rate = min(old*gr.rate+fresh*float64(ho.before)/took, gr.reportedRate)
}

// Keep records that the holder still answers for a grant. A grant of an
// earlier owner is counted from now on.
func (gr *Granter) Keep(now time.Time, id ml.GrantID) {
	ho := gr.holds[id]
	if ho == nil {
		ho = gr.adopt(now, ml.Hold{ID: id, Kind: "stream"})
	}
	ho.kept = now
}

// Release ends a grant.
func (gr *Granter) Release(now time.Time, id ml.GrantID, ou ml.GrantOutcome) {
	ho := gr.holds[id]
	switch ou {
	case ml.OutcomeCompleted:
		gr.Limiter.Succeeded(now)
	case ml.OutcomeEndpointFailed:
		gr.Limiter.Failed()
	case ml.OutcomeCancelled, ml.OutcomeUnsent:
	}
	if ho == nil {
		return
	}
	if ou == ml.OutcomeCompleted && !ho.ask.Member {
		const old, fresh = 0.8, 0.2 // weights of the moving average
		gr.service = time.Duration(old*float64(gr.service) + fresh*float64(now.Sub(ho.granted)))
	}
	if ou == ml.OutcomeEndpointFailed || ou == ml.OutcomeCancelled {
		// The engine's next reports show whether it is really gone.
		ho.confirmed = true
		ho.kept = time.Time{}
		return
	}
	delete(gr.holds, id)
}

// Lapse ends the grants of an endpoint that has no list of what it runs: those
// never confirmed, and those whose holder no longer answers for them.
func (gr *Granter) Lapse(now time.Time) {
	for id, ho := range gr.holds {
		unused := !ho.confirmed && now.Sub(ho.granted) > gr.Timing.GrantTerm+gr.Timing.Margin
		if unused || now.Sub(ho.kept) > keepTerm {
			delete(gr.holds, id)
		}
	}
}

// Carried returns the requests and unprocessed prompt tokens given to the
// endpoint.
func (gr *Granter) Carried() (requests int, prefill ml.Tokens) {
	for _, ho := range gr.holds {
		if !ho.ask.Member {
			requests++
			prefill += ho.prefill
		}
	}
	return requests, prefill
}

func (gr *Granter) adopt(now time.Time, eh ml.Hold) *hold {
	length := ml.Short
	if eh.Prefill > gr.Endpoint.ColdTokens {
		length = ml.Long
	}
	ho := &hold{
		ask:     Request{ID: eh.ID, Memory: eh.Tokens, Length: length, Member: eh.Kind != "stream"},
		granted: now, kept: now, prefill: eh.Prefill, confirmed: true, adopted: true,
	}
	gr.holds[eh.ID] = ho
	return ho
}

// prefillBefore returns the granted prompt tokens that an engine processes
// before a new prompt of the given length.
func (gr *Granter) prefillBefore(le ml.Length) ml.Tokens {
	sum := ml.Tokens(0)
	for _, ho := range gr.holds {
		if ho.ask.Length <= le {
			sum += ho.prefill
		}
	}
	return sum
}
