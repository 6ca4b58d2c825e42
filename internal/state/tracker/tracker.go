// Package tracker knows what each endpoint has been given: by this entry VM,
// and by the others as far as they have told.
package tracker

import (
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// silence is the time after which what a peer has told no longer counts.
	silence = 3 * time.Second
	// maxAge bounds how long any flight is believed.
	maxAge = time.Minute
	// staleWaiting is the time after which a peer that was not heard no longer
	// has its waiting requests reckoned with.
	staleWaiting = 1200 * time.Millisecond
	// recentSpan is the span over which sends to an endpoint are counted.
	recentSpan = time.Second
)

// Tracker holds flights. The zero value is empty. It is safe for concurrent
// use.
type Tracker struct {
	// OnChange is called, without locks held, when an endpoint has been given
	// something or has become freer; nil for nothing.
	OnChange func()
	// OnLocalChange is called too where it was this entry VM's doing, which others
	// have to be told; nil for nothing.
	OnLocalChange func()

	mu      sync.Mutex
	own     map[ml.FlightID]*ml.Flight
	waiting map[ml.FlightID]ml.QueuedRequest // own requests
	changes ml.ShareMessage                  // of own flights, not yet told
	peers   map[ml.VMID]*peer
	sends   map[ml.EndpointID][]time.Time
}

// peer is what one other entry VM has told.
type peer struct {
	heard   time.Time
	leaving bool
	flights map[ml.FlightID]*ml.Flight
	waiting map[ml.FlightID]ml.QueuedRequest
}

// AddFlight records a flight of this entry VM.
func (tr *Tracker) AddFlight(now time.Time, fl ml.Flight) {
	tr.mu.Lock()
	if tr.own == nil {
		tr.own = make(map[ml.FlightID]*ml.Flight)
	}
	fl.LastEventAt = now
	tr.own[fl.ID] = &fl
	tr.sent(now, fl.Endpoint)
	tr.changes.Flights = append(tr.changes.Flights, encode(now, &fl))
	tr.mu.Unlock()
	tr.ownChanged()
}

// RecordEvent records that an event of a flight's answer has come.
func (tr *Tracker) RecordEvent(now time.Time, id ml.FlightID) {
	tr.mu.Lock()
	fl := tr.own[id]
	if fl == nil {
		tr.mu.Unlock()
		return
	}
	fl.LastEventAt = now
	first := fl.FirstEventAt.IsZero()
	if first {
		fl.FirstEventAt = now
		tr.changes.Started = append(tr.changes.Started, id)
	}
	tr.mu.Unlock()
	if first {
		tr.ownChanged()
	}
}

// EndFlight records that a flight is over.
func (tr *Tracker) EndFlight(id ml.FlightID) {
	tr.mu.Lock()
	if _, found := tr.own[id]; !found {
		tr.mu.Unlock()
		return
	}
	delete(tr.own, id)
	tr.changes.Ended = append(tr.changes.Ended, id)
	tr.mu.Unlock()
	tr.ownChanged()
}

// AddWaiting records that a request of this entry VM waits.
func (tr *Tracker) AddWaiting(now time.Time, wa ml.QueuedRequest) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.waiting == nil {
		tr.waiting = make(map[ml.FlightID]ml.QueuedRequest)
	}
	tr.waiting[wa.ID] = wa
	tr.changes.Waiting = append(tr.changes.Waiting, encodeWaiting(now, wa))
}

// RemoveWaiting records that a request no longer waits.
func (tr *Tracker) RemoveWaiting(id ml.FlightID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if _, found := tr.waiting[id]; found {
		delete(tr.waiting, id)
		tr.changes.Ended = append(tr.changes.Ended, id)
	}
}

// WaitingAtPeers returns the requests that wait at other entry VMs.
func (tr *Tracker) WaitingAtPeers(now time.Time) []ml.QueuedRequest {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out := []ml.QueuedRequest{}
	for _, pe := range tr.peers {
		if now.Sub(pe.heard) >= staleWaiting {
			continue
		}
		for _, wa := range pe.waiting {
			out = append(out, wa)
		}
	}
	return out
}

// RecordFailure notes for the peers that an endpoint has failed a request.
func (tr *Tracker) RecordFailure(id ml.EndpointID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.changes.Failed = append(tr.changes.Failed, id)
}

// TakeChanges returns what the peers have not been told yet. The second result is
// false when there is nothing.
func (tr *Tracker) TakeChanges() (ml.ShareMessage, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sh := tr.changes
	tr.changes = ml.ShareMessage{}
	return sh, len(sh.Flights)+len(sh.Waiting)+len(sh.Started)+len(sh.Ended)+len(sh.Failed) > 0
}

// Snapshot returns all flights of this entry VM.
func (tr *Tracker) Snapshot(now time.Time) ml.ShareMessage {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sh := ml.ShareMessage{Full: true}
	for _, fl := range tr.own {
		sh.Flights = append(sh.Flights, encode(now, fl))
	}
	for _, wa := range tr.waiting {
		sh.Waiting = append(sh.Waiting, encodeWaiting(now, wa))
	}
	return sh
}

// ApplyPeerUpdate takes in what a peer has told.
func (tr *Tracker) ApplyPeerUpdate(now time.Time, sh ml.ShareMessage) {
	tr.mu.Lock()
	pe := tr.peer(sh.From)
	pe.heard, pe.leaving = now, sh.Leaving
	if sh.Full {
		clear(pe.flights)
		clear(pe.waiting)
	}
	for _, sf := range sh.Flights {
		fl := decode(now, sf)
		if pe.flights[fl.ID] == nil && !sh.Full {
			tr.sent(now, fl.Endpoint)
		}
		pe.flights[fl.ID] = fl
	}
	for _, sw := range sh.Waiting {
		pe.waiting[sw.ID] = decodeWaiting(now, sw)
	}
	for _, id := range sh.Started {
		if fl := pe.flights[id]; fl != nil {
			fl.FirstEventAt = now
		}
	}
	for _, id := range sh.Ended {
		delete(pe.flights, id)
		delete(pe.waiting, id)
	}
	freer := len(sh.Started)+len(sh.Ended) > 0
	tr.mu.Unlock()
	if freer || sh.Full {
		tr.changed()
	}
}

// peer returns what is known of another entry VM.
func (tr *Tracker) peer(id ml.VMID) *peer {
	if tr.peers == nil {
		tr.peers = make(map[ml.VMID]*peer)
	}
	pe := tr.peers[id]
	if pe == nil {
		pe = &peer{flights: make(map[ml.FlightID]*ml.Flight), waiting: make(map[ml.FlightID]ml.QueuedRequest)}
		tr.peers[id] = pe
	}
	return pe
}

// LivePeers returns how many other entry VMs have been heard lately.
func (tr *Tracker) LivePeers(now time.Time) int { return tr.PeersWithin(now, silence) }

// PeersWithin returns how many other entry VMs have been heard within a span
// before now.
func (tr *Tracker) PeersWithin(now time.Time, span time.Duration) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	n := 0
	for _, pe := range tr.peers {
		if now.Sub(pe.heard) < span && !pe.leaving {
			n++
		}
	}
	return n
}

// Flights returns the flights at all endpoints.
func (tr *Tracker) Flights(now time.Time) map[ml.EndpointID][]ml.Flight {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out := make(map[ml.EndpointID][]ml.Flight)
	for _, fl := range tr.own {
		out[fl.Endpoint] = append(out[fl.Endpoint], *fl)
	}
	for id, pe := range tr.peers {
		if now.Sub(pe.heard) >= silence {
			delete(tr.peers, id)
			continue
		}
		for id, fl := range pe.flights {
			if now.Sub(fl.SentAt) >= maxAge {
				delete(pe.flights, id)
				continue
			}
			out[fl.Endpoint] = append(out[fl.Endpoint], *fl)
		}
	}
	return out
}

// RecentSends returns how many requests have been sent to an endpoint within the
// last second, as far as this entry VM knows.
func (tr *Tracker) RecentSends(now time.Time, id ml.EndpointID) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.recent(now, id))
}

func (tr *Tracker) sent(now time.Time, id ml.EndpointID) {
	if tr.sends == nil {
		tr.sends = make(map[ml.EndpointID][]time.Time)
	}
	tr.sends[id] = append(tr.recent(now, id), now)
}

func (tr *Tracker) recent(now time.Time, id ml.EndpointID) []time.Time {
	all := tr.sends[id]
	for len(all) > 0 && now.Sub(all[0]) >= recentSpan {
		all = all[1:]
	}
	if len(all) == 0 {
		delete(tr.sends, id)
		return nil
	}
	tr.sends[id] = all
	return all
}

func (tr *Tracker) ownChanged() {
	tr.changed()
	if tr.OnLocalChange != nil {
		tr.OnLocalChange()
	}
}

func (tr *Tracker) changed() {
	if tr.OnChange != nil {
		tr.OnChange()
	}
}
