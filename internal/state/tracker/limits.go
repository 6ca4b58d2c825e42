package tracker

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// statedLimit is what an incarnation of an endpoint has stated in its newest answer.
type statedLimit struct {
	incarnation ml.Incarnation
	ml.RateLimit
	at time.Time // of the answer
}

// RecordLimit records the limit in an answer of an endpoint, or that it states none. It
// reports whether that differs from what was known. A change is sent to the peers.
func (tr *Tracker) RecordLimit(now time.Time, id ml.EndpointID, in ml.Incarnation, rl ml.RateLimit) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	changed := tr.setLimit(id, statedLimit{in, rl, now})
	if changed {
		tr.unsentChanges.Limits = append(tr.unsentChanges.Limits, ml.SharedLimit{Endpoint: id, Incarnation: in, Stated: rl.Stated, Rate: rl.Rate})
	}
	return changed
}

// setLimit applies what an endpoint has stated, unless a newer answer is known, and
// reports whether that changes the limit.
func (tr *Tracker) setLimit(id ml.EndpointID, sl statedLimit) bool {
	old, known := tr.limits[id]
	if known && old.at.After(sl.at) {
		return false
	}
	changed := sl.Stated
	if known && old.incarnation == sl.incarnation {
		changed = old.RateLimit != sl.RateLimit
	}
	switch {
	case !sl.Stated && !known:
		return false
	case tr.limits == nil:
		tr.limits = make(map[ml.EndpointID]statedLimit)
	}
	tr.limits[id] = sl
	return changed
}

// Limit returns the limit that an incarnation of an endpoint states, as far as known.
func (tr *Tracker) Limit(id ml.EndpointID, in ml.Incarnation) ml.RateLimit {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sl := tr.limits[id]
	if sl.incarnation != in {
		return ml.RateLimit{}
	}
	return sl.RateLimit
}

// sharedLimits returns the limits in force as they are sent to the peers.
func (tr *Tracker) sharedLimits(now time.Time) []ml.SharedLimit {
	out := []ml.SharedLimit{}
	for id, sl := range tr.limits {
		if sl.Stated {
			out = append(out, ml.SharedLimit{Endpoint: id, Incarnation: sl.incarnation, Stated: true, Rate: sl.Rate, AgeMs: now.Sub(sl.at).Milliseconds()})
		}
	}
	return out
}

// applyLimits applies the limits that a peer has reported.
func (tr *Tracker) applyLimits(now time.Time, all []ml.SharedLimit) {
	for _, sl := range all {
		at := now.Add(-time.Duration(sl.AgeMs) * time.Millisecond)
		tr.setLimit(sl.Endpoint, statedLimit{sl.Incarnation, ml.RateLimit{Stated: sl.Stated, Rate: sl.Rate}, at})
	}
}

// PruneLimits drops what endpoints have stated that are no longer listed.
func (tr *Tracker) PruneLimits(listed func(ml.EndpointID, ml.Incarnation) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, sl := range tr.limits {
		if !listed(id, sl.incarnation) {
			delete(tr.limits, id)
		}
	}
}
