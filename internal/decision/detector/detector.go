// Package detector detects failing endpoints from the results of requests and
// decides which to block, like a circuit breaker for each endpoint.
package detector

import (
	"math"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// resultHalfLife is the time after which the weight of a result is halved.
	resultHalfLife = 4 * time.Second
	// priorSuccesses is the number of successes assumed for every endpoint, so that
	// a single failure does not make a new endpoint's failure rate 1.
	priorSuccesses = 1.0
	// peerFailureWeight is the weight of a failure reported by another entry VM.
	peerFailureWeight = 0.5
	// minBlockTime and maxBlockTime bound how long an unreachable endpoint is
	// blocked. The time doubles with each consecutive failure. minBlockTime is also
	// the minimum interval of trial requests.
	minBlockTime = 500 * time.Millisecond
	maxBlockTime = 4 * time.Second
	// trialFailureRate is the failure rate from which an endpoint gets only single
	// trial requests.
	trialFailureRate = 0.5
)

// Result is the result of one attempt at an endpoint.
type Result int

// The results of attempts.
const (
	Succeeded   Result = iota
	Failed             // connection lost, no response in time, or an error response
	Unreachable        // no connection could be opened
	PeerFailed         // failure reported by another entry VM, or request received but not run
)

// Detector holds the results by endpoint. The zero value blocks no endpoint. It is
// safe for concurrent use.
type Detector struct {
	mu        sync.Mutex
	histories map[ml.EndpointID]*history
}

// history holds the results of one incarnation of an endpoint.
type history struct {
	incarnation            ml.Incarnation
	updatedAt              time.Time
	successes, failures    float64 // decayed to updatedAt
	consecutiveUnreachable int
	blockedUntil           time.Time
	lastSentAt             time.Time
}

// Record records a result.
func (de *Detector) Record(now time.Time, id ml.EndpointID, in ml.Incarnation, re Result) {
	de.mu.Lock()
	defer de.mu.Unlock()
	hi := de.history(now, id, in)
	switch re {
	case Succeeded:
		hi.successes++
		hi.consecutiveUnreachable = 0
		hi.blockedUntil = time.Time{}
	case Failed:
		hi.failures++
	case PeerFailed:
		hi.failures += peerFailureWeight
	case Unreachable:
		hi.failures++
		block := min(minBlockTime<<min(hi.consecutiveUnreachable, 8), maxBlockTime)
		hi.consecutiveUnreachable++
		hi.blockedUntil = now.Add(block)
	}
}

// FailureRate returns the expected share of failing requests at an endpoint.
func (de *Detector) FailureRate(now time.Time, id ml.EndpointID, in ml.Incarnation) float64 {
	de.mu.Lock()
	defer de.mu.Unlock()
	hi := de.history(now, id, in)
	return hi.failureRate()
}

// Blocked reports whether an endpoint must not get requests now: it was unreachable
// a short time ago, or it gets only single trial requests and one is running or
// was sent recently.
func (de *Detector) Blocked(now time.Time, id ml.EndpointID, in ml.Incarnation, running int) bool {
	de.mu.Lock()
	defer de.mu.Unlock()
	hi := de.history(now, id, in)
	if now.Before(hi.blockedUntil) {
		return true
	}
	return hi.failureRate() >= trialFailureRate && (running > 0 || now.Sub(hi.lastSentAt) < minBlockTime)
}

// Unreachable reports whether no connection to an endpoint could be opened a short time ago.
func (de *Detector) Unreachable(now time.Time, id ml.EndpointID, in ml.Incarnation) bool {
	de.mu.Lock()
	defer de.mu.Unlock()
	return now.Before(de.history(now, id, in).blockedUntil)
}

// RecordSend records that a request is sent to an endpoint.
func (de *Detector) RecordSend(now time.Time, id ml.EndpointID, in ml.Incarnation) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.history(now, id, in).lastSentAt = now
}

func (hi *history) failureRate() float64 {
	return hi.failures / (hi.successes + hi.failures + priorSuccesses)
}

// history returns the history of an endpoint's incarnation, decayed to now.
func (de *Detector) history(now time.Time, id ml.EndpointID, in ml.Incarnation) *history {
	if de.histories == nil {
		de.histories = make(map[ml.EndpointID]*history)
	}
	hi := de.histories[id]
	if hi != nil && hi.incarnation == "" {
		hi.incarnation = in // known only from failures reported by peers so far
	}
	if hi == nil || hi.incarnation != in && in != "" {
		hi = &history{incarnation: in, updatedAt: now}
		de.histories[id] = hi
	}
	if age := now.Sub(hi.updatedAt); age > 0 {
		decay := math.Exp2(-age.Seconds() / resultHalfLife.Seconds())
		hi.successes *= decay
		hi.failures *= decay
		hi.updatedAt = now
	}
	return hi
}

// Forget drops the results of endpoints, which the failures on paths of this entry VM say
// nothing about.
func (de *Detector) Forget(ids []ml.EndpointID) {
	de.mu.Lock()
	defer de.mu.Unlock()
	for _, id := range ids {
		delete(de.histories, id)
	}
}

// Prune removes the histories of endpoints that are no longer listed.
func (de *Detector) Prune(listed func(ml.EndpointID, ml.Incarnation) bool) {
	de.mu.Lock()
	defer de.mu.Unlock()
	for id, hi := range de.histories {
		if !listed(id, hi.incarnation) {
			delete(de.histories, id)
		}
	}
}
