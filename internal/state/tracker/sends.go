package tracker

import (
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// localSend is a request that this entry VM has placed at an endpoint.
type localSend struct {
	flight ml.FlightID
	sentAt time.Time // when the whole request had been written; zero before
}

// RecordSent records that the request of a local flight has been written. Only the
// first call for a flight counts.
func (tr *Tracker) RecordSent(now time.Time, id ml.FlightID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	fl := tr.localFlights[id]
	if fl == nil {
		return
	}
	all := tr.localSends[fl.Endpoint]
	for i := range all {
		if all[i].flight == id && all[i].sentAt.IsZero() {
			all[i].sentAt = now
		}
	}
}

// LocalSends returns how many requests of this entry VM an endpoint may receive within
// a window of up to maxSendsWindow before now: those that are placed and not written
// yet, however long that takes, and those that were written within that window.
func (tr *Tracker) LocalSends(now time.Time, id ml.EndpointID, window time.Duration) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	n := 0
	for _, ls := range tr.pruneLocalSends(now, id) {
		if ls.sentAt.IsZero() || now.Sub(ls.sentAt) < window {
			n++
		}
	}
	return n
}

func (tr *Tracker) addLocalSend(now time.Time, fl *ml.Flight) {
	if tr.localSends == nil {
		tr.localSends = make(map[ml.EndpointID][]localSend)
	}
	tr.localSends[fl.Endpoint] = append(tr.pruneLocalSends(now, fl.Endpoint), localSend{flight: fl.ID})
}

// removeUnsent removes the send of a flight that has ended before it was written.
func (tr *Tracker) removeUnsent(fl *ml.Flight) {
	tr.localSends[fl.Endpoint] = slices.DeleteFunc(tr.localSends[fl.Endpoint], func(ls localSend) bool {
		return ls.flight == fl.ID && ls.sentAt.IsZero()
	})
}

// pruneLocalSends drops the sends to an endpoint that no longer count, and returns the
// others.
func (tr *Tracker) pruneLocalSends(now time.Time, id ml.EndpointID) []localSend {
	out := slices.DeleteFunc(tr.localSends[id], func(ls localSend) bool {
		return !ls.sentAt.IsZero() && now.Sub(ls.sentAt) >= maxSendsWindow
	})
	if len(out) == 0 {
		delete(tr.localSends, id)
		return nil
	}
	tr.localSends[id] = out
	return out
}
