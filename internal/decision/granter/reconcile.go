package granter

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// Reconcile updates the grants from the engine's report of its holds. It
// returns the abandoned holds, which the caller must cancel at the engine. A
// grant that two consecutive reports do not list has ended.
func (gr *Granter) Reconcile(now time.Time, re ml.EngineReport) []ml.GrantID {
	if re.Incarnation != gr.incarnation() {
		gr.Limiter.ObserveIncarnation(re.Incarnation)
	}
	cancel := []ml.GrantID{}
	listed := make(map[ml.GrantID]bool, len(re.Holds))
	for _, eh := range re.Holds {
		listed[eh.ID] = true
		ho := gr.holds[eh.ID]
		if ho == nil {
			ho = gr.adopt(now, eh)
		}
		ho.missedReports = 0
		ho.confirmed = true
		if !ho.started {
			ho.pendingPrefill = eh.Prefill
		}
		if gr.abandoned(now, ho) {
			cancel = append(cancel, eh.ID)
			ho.abandonedReports++
		} else {
			ho.abandonedReports = 0
		}
	}
	for id, ho := range gr.holds {
		if !listed[id] && now.Sub(ho.grantedAt) > gr.Timing.GrantTerm+gr.Timing.Margin {
			ho.missedReports++
		}
		if ho.missedReports >= 2 {
			delete(gr.holds, id)
		}
	}
	return cancel
}

// maxAbandonedReports is the number of consecutive reports that may list an
// abandoned hold before its memory counts as leaked.
const maxAbandonedReports = 20

// LeakedHold returns an abandoned hold that the engine has not freed within
// maxAbandonedReports reports. The second result is false when there is none.
func (gr *Granter) LeakedHold() (ml.GrantID, bool) {
	for id, ho := range gr.holds {
		if ho.abandonedReports > maxAbandonedReports {
			return id, true
		}
	}
	return "", false
}

// RecordLoad records the engine's load report. A changed rate replaces the
// measured one.
func (gr *Granter) RecordLoad(now time.Time, lo ml.EngineLoad) {
	gr.Limiter.ObserveLoad(now, lo)
	if lo.PrefillRate > 0 && lo.PrefillRate != gr.reportedPrefillRate {
		gr.prefillRate, gr.reportedPrefillRate = lo.PrefillRate, lo.PrefillRate
	}
}

// abandoned reports whether a hold's deadline or its last keepalive is more than
// keepaliveTimeout ago.
func (gr *Granter) abandoned(now time.Time, ho *hold) bool {
	deadlinePassed := !ho.request.Deadline.IsZero() && now.After(ho.request.Deadline.Add(keepaliveTimeout))
	return deadlinePassed || now.Sub(ho.lastKeepalive) > keepaliveTimeout
}
