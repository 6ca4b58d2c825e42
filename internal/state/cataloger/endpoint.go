package cataloger

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// applyEndpoint applies an endpoint's record and reports whether it changes the
// catalog. A record that differs from the last one only in its sequence number
// does not, but for the first one of an era: entry VMs that don't read the store
// learn from it that the endpoint is still listed.
func (ca *Cataloger) applyEndpoint(now time.Time, re ml.KeyRecord) bool {
	if ca.endpoints == nil {
		ca.endpoints, ca.hasEndpoints = make(map[ml.EndpointID]Listing), make(map[ml.TopicName]bool)
	}
	id := ml.EndpointID(re.Key)
	old, listed := ca.endpoints[id]
	if re.Value == nil {
		return ca.removeEndpoint(now, id, old, listed)
	}
	ep, found, err := ca.Decoder.Endpoint(re)
	if !found || err != nil {
		delete(ca.endpoints, id)
		ca.Log.Warn("endpoint record is not usable, dropping the endpoint", "key", re.Key, "topic", re.Topic, "error", err)
		return true
	}
	li := Listing{ListedEndpoint: ep, ReadAt: now, Topic: re.Topic, Era: re.Era}
	if ep.ColdRemaining > 0 {
		li.ColdUntil = now.Add(ep.ColdRemaining)
	}
	ca.endpoints[id], ca.hasEndpoints[re.Topic] = li, true
	old.Sequence = ep.Sequence
	if listed && old.RemovedAt.IsZero() && old.ListedEndpoint == ep && old.Era == re.Era {
		return false
	}
	ca.Log.Info("endpoint", "endpoint", id, "state", ep.State, "service", ep.Service, "domain", ep.Domain,
		"incarnation", ep.Incarnation, "coldMs", ep.ColdRemaining.Milliseconds(), "offset", re.Offset)
	return true
}

func (ca *Cataloger) removeEndpoint(now time.Time, id ml.EndpointID, old Listing, listed bool) bool {
	if !listed || !old.RemovedAt.IsZero() {
		return false
	}
	old.RemovedAt = now
	ca.endpoints[id] = old
	ca.Log.Info("endpoint", "endpoint", id, "state", "removed", "storeAwayS", now.Sub(ca.storeFailedAt).Seconds())
	return true
}

// Usable returns the endpoints of a service that accept new requests, ordered by
// id.
func (ca *Cataloger) Usable(now time.Time, service ml.ServiceName) []Listing {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := []Listing{}
	for id, li := range ca.endpoints {
		if li.Service == service && ca.isUsable(now, id, li) {
			out = append(out, li)
		}
	}
	slices.SortFunc(out, func(a, b Listing) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// UsableByService returns the endpoints that accept new requests, ordered by id.
func (ca *Cataloger) UsableByService(now time.Time) map[ml.ServiceName][]ml.ListedEndpoint {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := make(map[ml.ServiceName][]ml.ListedEndpoint)
	for id, li := range ca.endpoints {
		if ca.isUsable(now, id, li) {
			out[li.Service] = append(out[li.Service], li.ListedEndpoint)
		}
	}
	for _, all := range out {
		slices.SortFunc(all, func(a, b ml.ListedEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

func (ca *Cataloger) isUsable(now time.Time, id ml.EndpointID, li Listing) bool {
	if li.State != ml.StateLive || ca.domainsOut[li.Domain] {
		return false
	}
	if in, reused := ca.reusedAddresses[id]; reused && in == li.Incarnation {
		return false
	}
	if _, leaves := ca.departures[ml.Departure{Endpoint: id, Incarnation: li.Incarnation}]; leaves {
		return false
	}
	if ca.isOutdated(li.Topic, li.Era, endpointRewriteTime) {
		return false
	}
	if li.RemovedAt.IsZero() {
		return true
	}
	afterOutage := li.RemovedAt.Sub(ca.storeFailedAt) < 2*ca.RemovalGrace
	return afterOutage && now.Sub(li.RemovedAt) < ca.RemovalGrace
}

// RecordDeparture records that an incarnation of an endpoint has said that it leaves, and
// reports whether that is new. Unlike a state in the store, that is never taken back.
func (ca *Cataloger) RecordDeparture(now time.Time, de ml.Departure) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if _, known := ca.departures[de]; known {
		return false
	}
	if ca.departures == nil {
		ca.departures = make(map[ml.Departure]time.Time)
	}
	ca.departures[de] = now
	return true
}

// Departures returns the endpoints that have said that they leave and are still listed.
func (ca *Cataloger) Departures() []ml.Departure {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := []ml.Departure{}
	for de := range ca.departures {
		if ca.isListed(de) {
			out = append(out, de)
		}
	}
	return out
}

func (ca *Cataloger) isListed(de ml.Departure) bool {
	li, listed := ca.endpoints[de.Endpoint]
	return listed && li.Incarnation == de.Incarnation
}

// CountByState returns the number of endpoints in each state.
func (ca *Cataloger) CountByState() map[ml.VMState]int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := map[ml.VMState]int{ml.StateLive: 0, ml.StateLeaving: 0, ml.StateAbsent: 0}
	for _, li := range ca.endpoints {
		if !li.RemovedAt.IsZero() {
			out[ml.StateAbsent]++
			continue
		}
		out[li.State]++
	}
	return out
}

// IsUsable reports whether this incarnation of an endpoint still accepts new
// requests. It is checked right before a request is sent.
func (ca *Cataloger) IsUsable(now time.Time, id ml.EndpointID, in ml.Incarnation) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	li, found := ca.endpoints[id]
	return found && li.Incarnation == in && ca.isUsable(now, id, li)
}

// Known reports whether this incarnation of an endpoint is in the catalog.
func (ca *Cataloger) Known(id ml.EndpointID, in ml.Incarnation) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	li, found := ca.endpoints[id]
	return found && li.Incarnation == in
}

// Lookup returns an incarnation of an endpoint, if it is in the catalog.
func (ca *Cataloger) Lookup(id ml.EndpointID, in ml.Incarnation) (Listing, bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	li, found := ca.endpoints[id]
	return li, found && li.Incarnation == in
}

// ListedAfter reports whether the platform's store still lists this incarnation of an
// endpoint after a time. The second result is false if this entry VM can't tell, since it
// has not read the endpoint's topic after that time.
func (ca *Cataloger) ListedAfter(at time.Time, id ml.EndpointID, in ml.Incarnation) (listed, known bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	li, found := ca.endpoints[id]
	if !found || li.Incarnation != in || !li.RemovedAt.IsZero() {
		return false, true
	}
	return true, ca.readAt[li.Topic].After(at)
}

// IsListed reports whether an endpoint is in the catalog, in any incarnation.
func (ca *Cataloger) IsListed(id ml.EndpointID) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	_, found := ca.endpoints[id]
	return found
}
