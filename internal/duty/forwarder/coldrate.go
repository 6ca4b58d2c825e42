package forwarder

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

// rateReached reports whether an endpoint must get no further request of this entry VM
// now: because of the limit that it states, or since it is cold, or may have become cold
// without notice.
func (fo *Forwarder) rateReached(now time.Time, rq *Request, li cataloger.Listing) bool {
	return fo.statedShareUsed(now, li) || fo.coldRateReached(now, rq, li)
}

// coldRateReached reports whether an endpoint that is cold, or may have become cold
// without notice, must get no further request of this entry VM now.
func (fo *Forwarder) coldRateReached(now time.Time, rq *Request, li cataloger.Listing) bool {
	if rq.Spec == nil || rq.Spec.ColdRate <= 0 {
		return false
	}
	return fo.coldShareUsed(now, rq.Spec, li) || fo.knownRateReached(now, rq.Spec, li)
}

// coldShareUsed reports whether this entry VM has used its share of what the fleet may
// send to an endpoint within one second. The shares bound the sum over all entry VMs
// without any news of each other's requests. Of an endpoint that is known to be cold
// the rate that it sustains is divided, and an entry VM takes no part before it knows
// the others; of any other endpoint the most that a cold one may receive.
func (fo *Forwarder) coldShareUsed(now time.Time, spec *ml.ServiceSpec, li cataloger.Listing) bool {
	if fo.Membership == nil {
		return false
	}
	view := fo.Membership(now)
	limit := int(spec.ColdRate*max(fo.ColdOverage, 1) + fo.ColdSlack)
	if li.ColdUntil.After(now) {
		if !view.Settled {
			return true
		}
		limit = int(spec.ColdRate)
	}
	return fo.Tracker.LocalSends(now, li.ID, time.Second) >= fo.Divider.Share(view, string(li.ID), limit)
}

// knownRateReached reports whether an endpoint is known to have received as many
// requests in the last second as a cold one can serve.
func (fo *Forwarder) knownRateReached(now time.Time, spec *ml.ServiceSpec, li cataloger.Listing) bool {
	return float64(fo.Tracker.RecentSends(now, li.ID)) >= spec.ColdRate
}
