package forwarder

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

// statedWindow is the window in which requests are counted against the limit that an
// endpoint states. In a shorter one the shares of most entry VMs would be less than one.
const statedWindow = 4 * time.Second

// statedShareUsed reports whether this entry VM has used its share of the requests that
// an endpoint says that it takes. The shares bound the sum over all entry VMs without any
// news of each other's requests. An entry VM that has just started may know too few of
// the others, so that its share may be too large, and sends one request at the most.
func (fo *Forwarder) statedShareUsed(now time.Time, li cataloger.Listing) bool {
	rl := fo.Tracker.Limit(li.ID, li.Incarnation)
	if !rl.Stated || fo.Membership == nil {
		return false
	}
	view := fo.Membership(now)
	share := fo.Divider.Share(view, string(li.ID), rl.Count(statedWindow))
	if !view.Settled {
		share = min(share, 1)
	}
	return fo.Tracker.LocalSends(now, li.ID, statedWindow) >= share
}

// recordLimit records the limit that an endpoint states in an answer, or that it states
// none. What can't be read changes nothing.
func (fo *Forwarder) recordLimit(now time.Time, ep ml.ListedEndpoint, an *ml.Answer) {
	if an.LimitError != nil {
		fo.Log.Warn("limit of an endpoint ignored", "endpoint", ep.ID, "error", an.LimitError)
		return
	}
	if fo.Tracker.RecordLimit(now, ep.ID, ep.Incarnation, an.Limit) {
		fo.Log.Info("limit", "endpoint", ep.ID, "incarnation", ep.Incarnation, "stated", an.Limit.Stated, "perSecond", an.Limit.Rate,
			"recentSends", fo.Tracker.RecentSends(now, ep.ID))
		fo.NotifyPeers()
	}
}
