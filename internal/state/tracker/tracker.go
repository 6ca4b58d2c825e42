// Package tracker records the requests in flight at each endpoint and the
// requests that wait for one: those of this entry VM, and those that other entry
// VMs have reported. The forwarder places requests by this state, and the sharer
// exchanges it between entry VMs.
package tracker

import (
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// peerExpiry is the time after a peer's last message at which its state is
	// dropped.
	peerExpiry = 3 * time.Second
	// maxFlightAge is the age at which a peer's flight is dropped even if its end
	// was not reported.
	maxFlightAge = time.Minute
	// peerWaitingExpiry is the time after a peer's last message at which its
	// waiting requests are ignored.
	peerWaitingExpiry = 1200 * time.Millisecond
	// unconfirmedTime is how long a flight that this entry VM has scheduled for a peer stays
	// although a snapshot of the peer lacks it: the peer may not have known of it yet.
	unconfirmedTime = time.Second
	// recentSendsWindow is the period for which RecentSends counts requests.
	recentSendsWindow = time.Second
	// maxSendsWindow is the longest window for which LocalSends counts requests.
	maxSendsWindow = 5 * time.Second
)

// Tracker holds the flights and waiting requests of all entry VMs. The zero
// value is empty. It is safe for concurrent use.
type Tracker struct {
	// OnChange is called without locks held when a local flight is added, begins
	// or ends, and when an update or a snapshot of a peer may have freed capacity.
	// It may be nil.
	OnChange func()
	// OnLocalChange is called after OnChange when a local flight has changed,
	// since the change has to be sent to the peers. It may be nil.
	OnLocalChange func()

	mu            sync.Mutex
	localFlights  map[ml.FlightID]*ml.Flight
	localWaiting  map[ml.FlightID]ml.QueuedRequest // requests of this entry VM
	unsentChanges ml.ShareMessage                  // local changes that have not been sent to the peers
	peers         map[ml.VMID]*peer
	sends         map[ml.EndpointID][]time.Time
	localSends    map[ml.EndpointID][]localSend
	limits        map[ml.EndpointID]statedLimit
}

// AddFlight records a flight of this entry VM.
func (tr *Tracker) AddFlight(now time.Time, fl ml.Flight) {
	tr.mu.Lock()
	tr.addLocalFlight(now, &fl)
	if !fl.Unreported {
		tr.unsentChanges.Flights = append(tr.unsentChanges.Flights, encodeFlight(now, &fl))
	}
	tr.mu.Unlock()
	tr.notifyLocalChange()
}

// AddScheduledFlight records a flight of this entry VM that another one, which knows it,
// has scheduled.
func (tr *Tracker) AddScheduledFlight(now time.Time, fl ml.Flight) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.addLocalFlight(now, &fl)
}

// addLocalFlight records a flight of this entry VM. The caller must hold tr.mu.
func (tr *Tracker) addLocalFlight(now time.Time, fl *ml.Flight) {
	if tr.localFlights == nil {
		tr.localFlights = make(map[ml.FlightID]*ml.Flight)
	}
	fl.LastEventAt = now
	tr.localFlights[fl.ID] = fl
	tr.recordSend(now, fl.Endpoint)
	if !fl.Helper {
		tr.addLocalSend(now, fl)
	}
}

// RecordEvent records that an event of a flight's answer has arrived.
func (tr *Tracker) RecordEvent(now time.Time, id ml.FlightID) {
	tr.mu.Lock()
	fl := tr.localFlights[id]
	if fl == nil {
		tr.mu.Unlock()
		return
	}
	fl.LastEventAt = now
	first := fl.FirstEventAt.IsZero()
	if first {
		fl.FirstEventAt = now
		tr.unsentChanges.Started = append(tr.unsentChanges.Started, id)
	}
	tr.mu.Unlock()
	if first {
		tr.notifyLocalChange()
	}
}

// EndFlight removes a flight of this entry VM.
func (tr *Tracker) EndFlight(id ml.FlightID) {
	tr.mu.Lock()
	fl, found := tr.localFlights[id]
	if !found {
		tr.mu.Unlock()
		return
	}
	tr.removeUnsent(fl)
	delete(tr.localFlights, id)
	if !fl.Unreported {
		tr.unsentChanges.Ended = append(tr.unsentChanges.Ended, id)
	}
	tr.mu.Unlock()
	tr.notifyLocalChange()
}

// AddWaiting records that a request of this entry VM waits for an endpoint.
func (tr *Tracker) AddWaiting(now time.Time, qr ml.QueuedRequest) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.localWaiting == nil {
		tr.localWaiting = make(map[ml.FlightID]ml.QueuedRequest)
	}
	tr.localWaiting[qr.ID] = qr
	tr.unsentChanges.Waiting = append(tr.unsentChanges.Waiting, encodeWaiting(now, qr))
}

// RemoveWaiting records that a request of this entry VM no longer waits.
func (tr *Tracker) RemoveWaiting(id ml.FlightID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if _, found := tr.localWaiting[id]; found {
		delete(tr.localWaiting, id)
		tr.unsentChanges.Ended = append(tr.unsentChanges.Ended, id)
	}
}

// RecordFailure adds an endpoint's failure of a request to the changes for the
// peers.
func (tr *Tracker) RecordFailure(id ml.EndpointID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.unsentChanges.Failed = append(tr.unsentChanges.Failed, id)
}

// RecordFailedRun adds the failure of an engine that had received a request to the changes
// for the scheduler.
func (tr *Tracker) RecordFailedRun(id ml.EndpointID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.unsentChanges.FailedRuns = append(tr.unsentChanges.FailedRuns, id)
}

// RecordWithdrawn adds to the changes for the scheduler that this entry VM no longer asks
// it to place a request.
func (tr *Tracker) RecordWithdrawn(id ml.FlightID) {
	tr.mu.Lock()
	tr.unsentChanges.Withdrawn = append(tr.unsentChanges.Withdrawn, id)
	tr.mu.Unlock()
	if tr.OnLocalChange != nil {
		tr.OnLocalChange()
	}
}

// ShareCrash adds the crash of an engine to the changes for the peers.
func (tr *Tracker) ShareCrash(sc ml.SharedCrash) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.unsentChanges.Crashes = append(tr.unsentChanges.Crashes, sc)
}

// ShareBlocked adds parts of prompts that have been blocked, or tried, to the changes for
// the peers.
func (tr *Tracker) ShareBlocked(blocked ...ml.SharedBlock) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.unsentChanges.Blocked = append(tr.unsentChanges.Blocked, blocked...)
}

// ShareCleared adds parts of prompts, with which answers have begun, to the changes for
// the peers.
func (tr *Tracker) ShareCleared(parts []ml.PartID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.unsentChanges.Cleared = append(tr.unsentChanges.Cleared, parts...)
}

// ShareDeparture adds an endpoint that leaves to the changes for the peers.
func (tr *Tracker) ShareDeparture(de ml.Departure) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.unsentChanges.Departures = append(tr.unsentChanges.Departures, de)
}

// TakeChanges returns and clears the changes that have not been sent to the
// peers. The second result reports whether there were any.
func (tr *Tracker) TakeChanges() (ml.ShareMessage, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sm := tr.unsentChanges
	tr.unsentChanges = ml.ShareMessage{}
	return sm, len(sm.Flights)+len(sm.Waiting)+len(sm.Started)+len(sm.Ended)+len(sm.Withdrawn)+len(sm.Failed)+len(sm.FailedRuns)+len(sm.Crashes)+len(sm.Cleared)+len(sm.Blocked)+len(sm.Limits)+len(sm.Departures) > 0
}

// Snapshot returns all flights and waiting requests of this entry VM.
func (tr *Tracker) Snapshot(now time.Time) ml.ShareMessage {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sm := ml.ShareMessage{Full: true, Limits: tr.sharedLimits(now)}
	for _, fl := range tr.localFlights {
		if !fl.Unreported {
			sm.Flights = append(sm.Flights, encodeFlight(now, fl))
		}
	}
	for _, qr := range tr.localWaiting {
		sm.Waiting = append(sm.Waiting, encodeWaiting(now, qr))
	}
	return sm
}

// Flights returns the flights at each endpoint, and drops peers and flights that
// have expired.
func (tr *Tracker) Flights(now time.Time) map[ml.EndpointID][]ml.Flight {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out := make(map[ml.EndpointID][]ml.Flight)
	for _, fl := range tr.localFlights {
		out[fl.Endpoint] = append(out[fl.Endpoint], *fl)
	}
	for id, pe := range tr.peers {
		if now.Sub(pe.lastHeard) >= peerExpiry && now.Sub(pe.reportedAt) >= peerExpiry {
			delete(tr.peers, id)
			continue
		}
		if now.Sub(pe.reportedAt) >= peerExpiry {
			clear(pe.flights)
			clear(pe.waiting)
			continue
		}
		for id, fl := range pe.flights {
			if now.Sub(fl.SentAt) >= maxFlightAge {
				delete(pe.flights, id)
				continue
			}
			out[fl.Endpoint] = append(out[fl.Endpoint], *fl)
		}
	}
	return out
}

// RecentSends returns the number of requests sent to an endpoint within the last
// second, by this entry VM and by the peers that have reported theirs.
func (tr *Tracker) RecentSends(now time.Time, id ml.EndpointID) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.recentSends(now, id))
}

func (tr *Tracker) recordSend(now time.Time, id ml.EndpointID) {
	if tr.sends == nil {
		tr.sends = make(map[ml.EndpointID][]time.Time)
	}
	tr.sends[id] = append(tr.recentSends(now, id), now)
}

func (tr *Tracker) recentSends(now time.Time, id ml.EndpointID) []time.Time {
	sends := tr.sends[id]
	for len(sends) > 0 && now.Sub(sends[0]) >= recentSendsWindow {
		sends = sends[1:]
	}
	if len(sends) == 0 {
		delete(tr.sends, id)
		return nil
	}
	tr.sends[id] = sends
	return sends
}

func (tr *Tracker) notifyLocalChange() {
	tr.notifyChange()
	if tr.OnLocalChange != nil {
		tr.OnLocalChange()
	}
}

func (tr *Tracker) notifyChange() {
	if tr.OnChange != nil {
		tr.OnChange()
	}
}
