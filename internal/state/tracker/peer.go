package tracker

import (
	"maps"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// peer is the state that another entry VM has reported.
type peer struct {
	lastHeard  time.Time
	reportedAt time.Time // when it last reported its requests here
	leaving    bool
	flights    map[ml.FlightID]*ml.Flight
	waiting    map[ml.FlightID]ml.QueuedRequest
}

// AddPeerFlight records a flight that this entry VM has scheduled for another one.
func (tr *Tracker) AddPeerFlight(now time.Time, from ml.VMID, fl ml.Flight) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	pe := tr.ensurePeer(from)
	pe.lastHeard, pe.reportedAt = now, now
	pe.flights[fl.ID] = &fl
	tr.recordSend(now, fl.Endpoint)
}

// EndPeerFlights removes the flights of a request that this entry VM has scheduled for
// another one.
func (tr *Tracker) EndPeerFlights(from ml.VMID, request ml.FlightID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if pe := tr.peers[from]; pe != nil {
		pe.endRequest(request)
	}
}

// endRequest removes all flights of a request.
func (pe *peer) endRequest(id ml.FlightID) {
	maps.DeleteFunc(pe.flights, func(fl ml.FlightID, _ *ml.Flight) bool { return fl.Request() == id })
}

// WaitingAtPeers returns the requests that wait at other entry VMs.
func (tr *Tracker) WaitingAtPeers(now time.Time) []ml.QueuedRequest {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out := []ml.QueuedRequest{}
	for _, pe := range tr.peers {
		if now.Sub(pe.reportedAt) >= peerWaitingExpiry {
			continue
		}
		for _, qr := range pe.waiting {
			out = append(out, qr)
		}
	}
	return out
}

// ApplyPeerUpdate applies a peer's changes or its snapshot. It returns the engines whose
// answers to the peer have begun and ended.
func (tr *Tracker) ApplyPeerUpdate(now time.Time, sm ml.ShareMessage) []ml.EndpointID {
	tr.mu.Lock()
	pe := tr.ensurePeer(sm.From)
	pe.lastHeard, pe.leaving = now, sm.Leaving
	if sm.Scheduled {
		tr.applyLimits(now, sm.Limits)
		tr.mu.Unlock()
		return nil
	}
	pe.reportedAt = now
	if sm.Full {
		maps.DeleteFunc(pe.flights, func(_ ml.FlightID, fl *ml.Flight) bool { return now.Sub(fl.SentAt) >= unconfirmedTime || !fl.Scheduled })
		clear(pe.waiting)
	}
	for _, sf := range sm.Flights {
		fl := decodeFlight(now, sf)
		if pe.flights[fl.ID] == nil && !sm.Full {
			tr.recordSend(now, fl.Endpoint)
		}
		pe.flights[fl.ID] = fl
	}
	for _, sq := range sm.Waiting {
		pe.waiting[sq.ID] = decodeWaiting(now, sq)
	}
	for _, id := range sm.Started {
		if fl := pe.flights[id]; fl != nil {
			fl.FirstEventAt = now
		}
	}
	answered := []ml.EndpointID{}
	for _, id := range sm.Ended {
		if fl := pe.flights[id]; fl != nil && !fl.Helper && !fl.FirstEventAt.IsZero() {
			answered = append(answered, fl.Endpoint)
		}
		delete(pe.flights, id)
		delete(pe.waiting, id)
	}
	for _, id := range sm.Withdrawn {
		pe.endRequest(id)
	}
	tr.applyLimits(now, sm.Limits)
	capacityFreed := len(sm.Started)+len(sm.Ended)+len(sm.Withdrawn) > 0
	tr.mu.Unlock()
	if capacityFreed || sm.Full {
		tr.notifyChange()
	}
	return answered
}

// ensurePeer returns the state of another entry VM, creating it if needed.
func (tr *Tracker) ensurePeer(id ml.VMID) *peer {
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

// LivePeers returns the number of other entry VMs whose state has not expired and
// that are not shutting down.
func (tr *Tracker) LivePeers(now time.Time) int { return tr.PeersHeardWithin(now, peerExpiry) }

// PeersHeardWithin returns the number of other entry VMs from which a message
// has arrived within the window before now. Peers that are shutting down don't
// count.
func (tr *Tracker) PeersHeardWithin(now time.Time, window time.Duration) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	n := 0
	for _, pe := range tr.peers {
		if now.Sub(pe.lastHeard) < window && !pe.leaving {
			n++
		}
	}
	return n
}
