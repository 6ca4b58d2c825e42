// Package hedger decides when a request that may be repeated is sent to a second endpoint, because
// the first one takes longer than such requests usually do. It answers single slow endpoints before
// a service with places to spare; when a service is busy it does nothing.
package hedger

import (
	"slices"
	"time"
)

const (
	// minSamples is the number of answers from which on it is known what requests usually take, and
	// maxSamples the number of the latest that are remembered.
	minSamples, maxSamples = 30, 200
	// usualQuantile is the share of requests that are answered within the usual time.
	usualQuantile = 0.95
	// usualFactor times that time is waited for an answer: an endpoint whose times vary is not slow.
	usualFactor = 1.2
	// objectiveShare is the share of a request's objective that is waited while it is not known
	// what requests usually take: a second endpoint may then still answer in time.
	objectiveShare = 0.5
	// maxBusyShare is the share of a service's places from which on none is taken for a second copy.
	maxBusyShare = 0.6
)

// Budget bounds the second copies of requests. The zero value allows none. It is not safe for
// concurrent use.
type Budget struct {
	PerCent float64 // second copies as a share of the requests

	credit float64 // second copies that requests have earned
}

// RecordRequest records a request, which earns a share of a second copy. What is earned can't be
// saved up for a time when all requests are slow.
func (bu *Budget) RecordRequest() {
	bu.credit = min(bu.credit+bu.PerCent/100, 1)
}

// MayTake reports whether a second copy may be sent to a service with places to spare.
func (bu *Budget) MayTake(busy, places int) bool {
	return bu.credit >= 1 && float64(busy) < maxBusyShare*float64(places)
}

// Take takes one second copy from what requests have earned.
func (bu *Budget) Take() { bu.credit-- }

// Times holds how long the latest answers of a service took. The zero value knows none. It is not
// safe for concurrent use.
type Times struct {
	samples []time.Duration
	next    int // sample that is replaced next
}

// RecordAnswer records how long an endpoint took for an answer.
func (ti *Times) RecordAnswer(took time.Duration) {
	if len(ti.samples) < maxSamples {
		ti.samples = append(ti.samples, took)
		return
	}
	ti.samples[ti.next] = took
	ti.next = (ti.next + 1) % maxSamples
}

// Delay returns the time after which a request with an objective that has no answer yet may be sent
// to a second endpoint.
func (ti *Times) Delay(objective time.Duration) time.Duration {
	if len(ti.samples) < minSamples {
		return time.Duration(objectiveShare * float64(objective))
	}
	sorted := slices.Sorted(slices.Values(ti.samples))
	usual := sorted[int(usualQuantile*float64(len(sorted)-1))]
	return time.Duration(usualFactor * float64(usual))
}
