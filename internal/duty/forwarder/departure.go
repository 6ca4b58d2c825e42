package forwarder

import (
	"errors"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

// errAllPaused means that a request was not placed since each endpoint of the service has
// asked for a pause.
var errAllPaused = errors.New("all endpoints have asked for a pause")

// recordDeparture records that the endpoint that gave an answer says that it leaves, before
// the answer is forwarded, and tells the other entry VMs.
func (fo *Forwarder) recordDeparture(now time.Time, rq *Request, an *ml.Answer) {
	if an.Departure == nil || !fo.Catalog.RecordDeparture(now, *an.Departure) {
		return
	}
	fo.Log.Info("endpoint", "endpoint", an.Departure.Endpoint, "incarnation", an.Departure.Incarnation, "state", "leaving", "source", "answer",
		"request", rq.Outgoing.Attempt, "carried", len(rq.carriers) > 0)
	fo.Tracker.ShareDeparture(*an.Departure)
	fo.NotifyPeers()
}

// recordPause records that an endpoint that turns a request away wants nothing from this
// entry VM for a time. What can't be read changes nothing.
func (fo *Forwarder) recordPause(now time.Time, rq *Request, ep ml.ListedEndpoint, an *ml.Answer) {
	if an.RetryAfterError != nil {
		fo.Log.Warn("pause of an endpoint ignored", "endpoint", ep.ID, "request", rq.Outgoing.Attempt, "error", an.RetryAfterError)
	}
	if an.RetryAfter <= 0 {
		return
	}
	fo.Pauser.Record(now, ep.ID, ep.Incarnation, an.RetryAfter)
	fo.Log.Info("pause", "endpoint", ep.ID, "incarnation", ep.Incarnation, "request", rq.Outgoing.Attempt, "ms", an.RetryAfter.Milliseconds())
}

// isPaused reports whether an endpoint wants nothing from this entry VM.
func (fo *Forwarder) isPaused(now time.Time, ep ml.ListedEndpoint) bool {
	return fo.Pauser.Left(now, ep.ID, ep.Incarnation) > 0
}

// pauseLeft returns the time until the first of some endpoints wants requests again, or 0 if
// one does.
func (fo *Forwarder) pauseLeft(now time.Time, listings []cataloger.Listing) time.Duration {
	shortest := time.Duration(0)
	for _, li := range listings {
		left := fo.Pauser.Left(now, li.ID, li.Incarnation)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
