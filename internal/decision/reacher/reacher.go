// Package reacher decides whether this entry VM has lost its paths to all endpoints of a
// service, which may live and serve the other entry VMs. Failures of some endpoints, or
// silence, only raise the suspicion; connections that are opened on purpose decide.
package reacher

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// suspectFailures is the number of endpoints that fail within failureWindow, each
	// without a sign of life since, from which paths are probed. One may have ended.
	suspectFailures = 2
	failureWindow   = 2 * time.Second
	// silenceTime is the time without a sign of life of any endpoint, while requests are
	// under way, from which paths are probed.
	silenceTime = 600 * time.Millisecond
	// probeInterval is the time between two probes while the paths are lost, and
	// quietInterval after one that found a path.
	probeInterval, quietInterval = 500 * time.Millisecond, 2 * time.Second
	// failedProbes is the number of probes in a row that find no path from which the
	// paths are lost although something is heard on connections from before.
	failedProbes = 2
	// probeSize is the number of endpoints that are probed together, and minProbe the
	// number without which nothing is decided.
	probeSize, minProbe = 3, 2
)

// Reacher holds what one entry VM knows of its paths. The zero value is ready to use. It is
// safe for concurrent use.
type Reacher struct {
	mu       sync.Mutex
	services map[ml.ServiceName]*paths
}

// paths are the paths to the endpoints of one service.
type paths struct {
	contacts  map[ml.EndpointID]time.Time // newest sign of life
	failures  map[ml.EndpointID]time.Time // newest failure
	probed    map[ml.EndpointID]time.Time // newest probe
	contactAt time.Time                   // newest sign of life of any
	inFlight  int                         // requests under way
	busySince time.Time                   // since when there are some
	nextProbe time.Time
	failed    int // probes in a row that found no path
	isCut     bool
}

// of returns the paths to a service. The caller must hold re.mu.
func (re *Reacher) of(service ml.ServiceName) *paths {
	if re.services == nil {
		re.services = make(map[ml.ServiceName]*paths)
	}
	pa := re.services[service]
	if pa == nil {
		pa = &paths{contacts: make(map[ml.EndpointID]time.Time), failures: make(map[ml.EndpointID]time.Time), probed: make(map[ml.EndpointID]time.Time)}
		re.services[service] = pa
	}
	return pa
}

// RecordSend records that a request to a service is under way, until RecordEnd.
func (re *Reacher) RecordSend(now time.Time, service ml.ServiceName) {
	re.mu.Lock()
	defer re.mu.Unlock()
	pa := re.of(service)
	if pa.inFlight == 0 {
		pa.busySince = now
	}
	pa.inFlight++
}

// RecordEnd records that a request is no longer under way.
func (re *Reacher) RecordEnd(service ml.ServiceName) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.of(service).inFlight--
}

// RecordContact records a sign of life of an endpoint: a connection, or bytes of an answer.
func (re *Reacher) RecordContact(now time.Time, service ml.ServiceName, id ml.EndpointID) {
	re.mu.Lock()
	defer re.mu.Unlock()
	pa := re.of(service)
	pa.contacts[id], pa.contactAt = now, now
}

// RecordFailure records that no connection to an endpoint could be opened, or that one was
// lost with a request on it.
func (re *Reacher) RecordFailure(now time.Time, service ml.ServiceName, id ml.EndpointID) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.of(service).failures[id] = now
}

// IsCut reports whether all paths to a service are lost.
func (re *Reacher) IsCut(service ml.ServiceName) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.of(service).isCut
}

// Cut returns the services to which all paths are lost, in order.
func (re *Reacher) Cut() []ml.ServiceName {
	re.mu.Lock()
	defer re.mu.Unlock()
	out := []ml.ServiceName{}
	for service, pa := range re.services {
		if pa.isCut {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// MustProbe returns the services to which the paths must be probed now, since they are lost
// or may be.
func (re *Reacher) MustProbe(now time.Time) []ml.ServiceName {
	re.mu.Lock()
	defer re.mu.Unlock()
	out := []ml.ServiceName{}
	for service, pa := range re.services {
		if !now.Before(pa.nextProbe) && (pa.isCut || pa.isSilent(now) || pa.failing(now) >= suspectFailures) {
			out = append(out, service)
		}
	}
	return out
}

// isSilent reports whether requests are under way and nothing was heard for some time.
func (pa *paths) isSilent(now time.Time) bool {
	return pa.inFlight > 0 && now.Sub(pa.busySince) >= silenceTime && now.Sub(pa.contactAt) >= silenceTime
}

// failing returns the number of endpoints that have failed lately, without a sign of life
// since.
func (pa *paths) failing(now time.Time) int {
	n := 0
	for id, at := range pa.failures {
		if now.Sub(at) >= failureWindow {
			delete(pa.failures, id)
		} else if pa.contacts[id].Before(at) {
			n++
		}
	}
	return n
}

// Sample returns the endpoints of a service to probe, at random: first those that have not
// failed lately, and of these the ones that were not probed lately.
func (re *Reacher) Sample(now time.Time, service ml.ServiceName, all []ml.ListedEndpoint) []ml.ListedEndpoint {
	re.mu.Lock()
	defer re.mu.Unlock()
	pa := re.of(service)
	out := slices.Clone(all)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b ml.ListedEndpoint) int {
		return cmp.Or(pa.failures[a.ID].Compare(pa.failures[b.ID]), pa.probed[a.ID].Compare(pa.probed[b.ID]))
	})
	out = out[:min(len(out), probeSize)]
	for _, ep := range out {
		pa.probed[ep.ID] = now
	}
	return out
}

// RecordProbe records the results of a probe that began at begun, and reports whether that
// changed whether the paths are lost. They are if no connection could be opened, and all
// were refused, or nothing was heard of any endpoint meanwhile, or that was so once
// more: else this VM may be slow.
func (re *Reacher) RecordProbe(begun, now time.Time, service ml.ServiceName, results []ml.ConnectResult) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	pa := re.of(service)
	was := pa.isCut
	switch {
	case slices.Contains(results, ml.ConnectOpened):
		pa.isCut, pa.failed = false, 0
		clear(pa.failures)
		pa.nextProbe = now.Add(quietInterval)
		return was
	case len(results) < minProbe:
		pa.nextProbe = now.Add(quietInterval)
		return false
	}
	isRefused := !slices.Contains(results, ml.ConnectFailed)
	pa.failed++
	pa.isCut = was || isRefused || pa.contactAt.Before(begun) || pa.failed >= failedProbes
	pa.nextProbe = now.Add(probeInterval)
	return pa.isCut != was
}

// Prune drops what is known of endpoints that are no longer listed.
func (re *Reacher) Prune(listed func(ml.EndpointID) bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	for _, pa := range re.services {
		for _, known := range []map[ml.EndpointID]time.Time{pa.contacts, pa.failures, pa.probed} {
			for id := range known {
				if !listed(id) {
					delete(known, id)
				}
			}
		}
	}
}
