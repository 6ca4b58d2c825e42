package granter

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// hold is a grant that is not known to have ended.
type hold struct {
	request          Request
	grantedAt        time.Time
	confirmed        bool      // accepted by the endpoint
	confirmedAt      time.Time // when the holder confirmed it; zero before
	confirmedBacklog ml.Tokens // prompt tokens to process until its first token, counted at confirmation
	pendingPrefill   ml.Tokens // prompt tokens still to be processed
	lastKeepalive    time.Time // last message of the holder about the grant; zero once it ended the grant
	missedReports    int       // consecutive reports that did not list it
	abandonedReports int       // consecutive reports that listed it although it is abandoned
	started          bool      // the first token came, so the prompt is processed
	adopted          bool      // granted by an earlier owner
}

// Confirm records that the endpoint accepted the request.
func (gr *Granter) Confirm(now time.Time, id ml.GrantID, in ml.Incarnation) {
	gr.Limiter.ObserveIncarnation(in)
	if ho := gr.holds[id]; ho != nil {
		ho.confirmed = true
		ho.lastKeepalive, ho.confirmedAt = now, now
		ho.confirmedBacklog = gr.grantedTokensAhead(ho.request.Length)
	}
}

// MarkStarted records that the first token came, so that the prompt is
// processed. The time since confirmation is a sample of the prefill rate under
// load.
func (gr *Granter) MarkStarted(now time.Time, id ml.GrantID) {
	ho := gr.holds[id]
	if ho == nil || ho.started {
		return
	}
	ho.started, ho.pendingPrefill = true, 0
	ho.lastKeepalive = now
	took := now.Sub(ho.confirmedAt).Seconds()
	if ho.confirmedAt.IsZero() || ho.confirmedBacklog < minRateSampleTokens || took <= 0 {
		return
	}
	const oldWeight, newWeight = 0.9, 0.1 // weights of the moving average
	gr.prefillRate = min(oldWeight*gr.prefillRate+newWeight*float64(ho.confirmedBacklog)/took, gr.reportedPrefillRate)
}

// KeepAlive records a keepalive for a grant. An unknown grant was made by an
// earlier owner and is counted from now on.
func (gr *Granter) KeepAlive(now time.Time, id ml.GrantID) {
	ho := gr.holds[id]
	if ho == nil {
		ho = gr.adopt(now, ml.Hold{ID: id, Kind: "stream"})
	}
	ho.lastKeepalive = now
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
	if ou == ml.OutcomeCompleted && !ho.request.Member {
		const oldWeight, newWeight = 0.8, 0.2 // weights of the moving average
		gr.meanServiceTime = time.Duration(oldWeight*float64(gr.meanServiceTime) + newWeight*float64(now.Sub(ho.grantedAt)))
	}
	if ou == ml.OutcomeEndpointFailed || ou == ml.OutcomeCancelled {
		// The engine may still be running it: Reconcile drops the hold once
		// the engine's reports no longer list it.
		ho.confirmed = true
		ho.lastKeepalive = time.Time{}
		return
	}
	delete(gr.holds, id)
}

// ExpireGrants ends the unconfirmed grants that are too old to be used, and
// those without keepalives. It is for services, which do not report what they
// run.
func (gr *Granter) ExpireGrants(now time.Time) {
	for id, ho := range gr.holds {
		unused := !ho.confirmed && now.Sub(ho.grantedAt) > gr.Timing.GrantTerm+gr.Timing.Margin
		if unused || now.Sub(ho.lastKeepalive) > keepaliveTimeout {
			delete(gr.holds, id)
		}
	}
}

// GrantedWork returns the number of granted requests and their unprocessed
// prompt tokens. Group members, which hold memory only, are left out.
func (gr *Granter) GrantedWork() (requests int, prefill ml.Tokens) {
	for _, ho := range gr.holds {
		if !ho.request.Member {
			requests++
			prefill += ho.pendingPrefill
		}
	}
	return requests, prefill
}

// adopt counts a grant of an earlier owner.
func (gr *Granter) adopt(now time.Time, eh ml.Hold) *hold {
	length := ml.Short
	if eh.Prefill > gr.Endpoint.ColdTokens {
		length = ml.Long
	}
	ho := &hold{
		request:   Request{ID: eh.ID, Memory: eh.Tokens, Length: length, Member: eh.Kind != "stream"},
		grantedAt: now, lastKeepalive: now, pendingPrefill: eh.Prefill, confirmed: true, adopted: true,
	}
	gr.holds[eh.ID] = ho
	return ho
}

// grantedTokensAhead returns the granted prompt tokens that the engine
// processes before a new prompt of the given length.
func (gr *Granter) grantedTokensAhead(le ml.Length) ml.Tokens {
	sum := ml.Tokens(0)
	for _, ho := range gr.holds {
		if ho.request.Length <= le {
			sum += ho.pendingPrefill
		}
	}
	return sum
}
