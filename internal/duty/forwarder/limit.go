package forwarder

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

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
