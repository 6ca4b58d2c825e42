package cataloger

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// applyEndpoint takes in an endpoint's record. A record that is like the last
// one but for its number is no news.
func (ca *Cataloger) applyEndpoint(now time.Time, re ml.KeyRecord) bool {
	if ca.endpoints == nil {
		ca.endpoints = make(map[ml.EndpointID]Listing)
	}
	id := ml.EndpointID(re.Key)
	old, had := ca.endpoints[id]
	if re.Value == nil {
		return ca.removeEndpoint(now, id, old, had)
	}
	ep, is, err := ca.Decoder.Endpoint(re)
	if !is || err != nil {
		delete(ca.endpoints, id)
		ca.Log.Warn("record names no endpoint to use", "key", re.Key, "topic", re.Topic, "error", err)
		return true
	}
	li := Listing{ListedEndpoint: ep, Seen: now}
	if ep.ColdRemaining > 0 {
		li.ColdUntil = now.Add(ep.ColdRemaining)
	}
	ca.endpoints[id] = li
	if had && old.Removed.IsZero() && old.ListedEndpoint == ep {
		return false
	}
	ca.Log.Info("endpoint", "endpoint", id, "state", ep.State, "service", ep.Service, "domain", ep.Domain,
		"incarnation", ep.Incarnation, "coldMs", ep.ColdRemaining.Milliseconds(), "offset", re.Offset)
	return true
}

func (ca *Cataloger) removeEndpoint(now time.Time, id ml.EndpointID, old Listing, had bool) bool {
	if !had || !old.Removed.IsZero() {
		return false
	}
	old.Removed = now
	ca.endpoints[id] = old
	ca.Log.Info("endpoint", "endpoint", id, "state", "removed", "storeAwayS", now.Sub(ca.away).Seconds())
	return true
}

// Usable returns the endpoints of a service that new requests may be sent to,
// ordered by id.
func (ca *Cataloger) Usable(now time.Time, service ml.ServiceName) []Listing {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := []Listing{}
	for id, li := range ca.endpoints {
		if li.Service == service && ca.usable(now, id, li) {
			out = append(out, li)
		}
	}
	slices.SortFunc(out, func(a, b Listing) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (ca *Cataloger) usable(now time.Time, id ml.EndpointID, li Listing) bool {
	if li.State != ml.StateLive || ca.out[li.Domain] {
		return false
	}
	if in, wrong := ca.wrong[id]; wrong && in == li.Incarnation {
		return false
	}
	if li.Removed.IsZero() {
		return true
	}
	lapsed := li.Removed.Sub(ca.away) < 2*ca.Grace
	return lapsed && now.Sub(li.Removed) < ca.Grace
}

// States returns how many endpoints are listed in each state.
func (ca *Cataloger) States() map[ml.VMState]int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := map[ml.VMState]int{ml.StateLive: 0, ml.StateLeaving: 0, ml.StateAbsent: 0}
	for _, li := range ca.endpoints {
		if !li.Removed.IsZero() {
			out[ml.StateAbsent]++
			continue
		}
		out[li.State]++
	}
	return out
}

// IsUsable tells whether an endpoint may still be sent to, right before a send.
func (ca *Cataloger) IsUsable(now time.Time, id ml.EndpointID, in ml.Incarnation) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	li, found := ca.endpoints[id]
	return found && li.Incarnation == in && ca.usable(now, id, li)
}

// Known tells whether a life of an endpoint is listed.
func (ca *Cataloger) Known(id ml.EndpointID, in ml.Incarnation) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	li, found := ca.endpoints[id]
	return found && li.Incarnation == in
}
