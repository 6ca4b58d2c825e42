package granter

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// Reconcile compares the engine's own list with the grants. It returns the
// holds to cancel at the engine, since nobody answers for them. A grant that
// two reports in a row do not list has ended.
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
		ho.missing = 0
		ho.confirmed = true
		if !ho.started {
			ho.prefill = eh.Prefill
		}
		if gr.abandoned(now, ho) {
			cancel = append(cancel, eh.ID)
			ho.overdue++
		} else {
			ho.overdue = 0
		}
	}
	for id, ho := range gr.holds {
		if !listed[id] && now.Sub(ho.granted) > gr.Timing.GrantTerm+gr.Timing.Margin {
			ho.missing++
		}
		if ho.missing >= 2 {
			delete(gr.holds, id)
		}
	}
	return cancel
}

// maxOverdue is the number of reports in a row after which a hold that nobody
// answers for counts as lost memory.
const maxOverdue = 20

// Lost returns a hold that the endpoint keeps although it should have been
// cancelled long ago. The second result is false when there is none.
func (gr *Granter) Lost() (ml.GrantID, bool) {
	for id, ho := range gr.holds {
		if ho.overdue > maxOverdue {
			return id, true
		}
	}
	return "", false
}

// Reported records the engine's load report.
func (gr *Granter) Reported(now time.Time, lo ml.EngineLoad) {
	gr.Limiter.ObserveLoad(now, lo)
	if lo.PrefillRate > 0 && lo.PrefillRate != gr.reportedRate {
		gr.rate, gr.reportedRate = lo.PrefillRate, lo.PrefillRate
	}
}

// abandoned tells whether nobody answers for a hold any more.
func (gr *Granter) abandoned(now time.Time, ho *hold) bool {
	late := !ho.ask.Deadline.IsZero() && now.After(ho.ask.Deadline.Add(keepTerm))
	return late || now.Sub(ho.kept) > keepTerm
}
