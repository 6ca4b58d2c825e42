// Package detector finds endpoints that fail requests, from the results alone.
package detector

import (
	"math"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// memory is the time after which a result counts for half.
	memory = 4 * time.Second
	// prior is the number of good results that an unknown endpoint starts with.
	prior = 1.0
	// peerWeight is what a failure counts that another entry VM has seen.
	peerWeight = 0.5
	// firstPause and longestPause bound how long an endpoint that can't be
	// reached gets nothing; it doubles with each further failure.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// openShare is the share of failures from which an endpoint gets one
	// request at a time.
	openShare = 0.5
)

// Result is the end of one attempt at an endpoint.
type Result int

// The results of attempts.
const (
	Succeeded   Result = iota
	Failed             // broke off, was silent or answered with a failure
	Unreachable        // no connection could be opened
	PeerFailed         // another entry VM has seen it fail
)

// Detector holds the results by endpoint. The zero value trusts all endpoints.
// It is safe for concurrent use.
type Detector struct {
	mu   sync.Mutex
	ends map[ml.EndpointID]*history
}

type history struct {
	incarnation ml.Incarnation
	at          time.Time
	good, bad   float64
	row         int // failures to reach it, one after the other
	closedUntil time.Time
	trial       time.Time // when the last single request was let through
}

// Record records a result.
func (de *Detector) Record(now time.Time, id ml.EndpointID, in ml.Incarnation, re Result) {
	de.mu.Lock()
	defer de.mu.Unlock()
	hi := de.history(now, id, in)
	switch re {
	case Succeeded:
		hi.good++
		hi.row = 0
		hi.closedUntil = time.Time{}
	case Failed:
		hi.bad++
	case PeerFailed:
		hi.bad += peerWeight
	case Unreachable:
		hi.bad++
		pause := min(firstPause<<min(hi.row, 8), longestPause)
		hi.row++
		hi.closedUntil = now.Add(pause)
	}
}

// FailureRate returns the share of requests that an endpoint is expected to fail.
func (de *Detector) FailureRate(now time.Time, id ml.EndpointID, in ml.Incarnation) float64 {
	de.mu.Lock()
	defer de.mu.Unlock()
	hi := de.history(now, id, in)
	return hi.share()
}

// Blocked tells whether an endpoint gets nothing now: it could not be reached a
// short time ago, or it fails so much that one request at a time tries it.
func (de *Detector) Blocked(now time.Time, id ml.EndpointID, in ml.Incarnation, running int) bool {
	de.mu.Lock()
	defer de.mu.Unlock()
	hi := de.history(now, id, in)
	if now.Before(hi.closedUntil) {
		return true
	}
	return hi.share() >= openShare && (running > 0 || now.Sub(hi.trial) < firstPause)
}

// RecordSend notes that a request was let through to an endpoint.
func (de *Detector) RecordSend(now time.Time, id ml.EndpointID, in ml.Incarnation) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.history(now, id, in).trial = now
}

func (hi *history) share() float64 { return hi.bad / (hi.good + hi.bad + prior) }

// history returns what is known of this life of an endpoint, aged to now.
func (de *Detector) history(now time.Time, id ml.EndpointID, in ml.Incarnation) *history {
	if de.ends == nil {
		de.ends = make(map[ml.EndpointID]*history)
	}
	hi := de.ends[id]
	if hi != nil && hi.incarnation == "" {
		hi.incarnation = in // so far only peers have told of it
	}
	if hi == nil || hi.incarnation != in && in != "" {
		hi = &history{incarnation: in, at: now}
		de.ends[id] = hi
	}
	if age := now.Sub(hi.at); age > 0 {
		fade := math.Exp2(-age.Seconds() / memory.Seconds())
		hi.good *= fade
		hi.bad *= fade
		hi.at = now
	}
	return hi
}

// Prune drops what is known of endpoints that are not listed any more.
func (de *Detector) Prune(listed func(ml.EndpointID, ml.Incarnation) bool) {
	de.mu.Lock()
	defer de.mu.Unlock()
	for id, hi := range de.ends {
		if !listed(id, hi.incarnation) {
			delete(de.ends, id)
		}
	}
}
