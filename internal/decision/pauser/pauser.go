// Package pauser keeps the endpoints that have asked this entry VM to send nothing for a
// time. Unlike a stated limit, that holds for one entry VM alone.
package pauser

import (
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// Pauser holds the pauses. The zero value holds none. It is safe for concurrent use.
type Pauser struct {
	mu     sync.Mutex
	pauses map[ml.EndpointID]pause
}

type pause struct {
	incarnation ml.Incarnation
	until       time.Time
}

// Record records that an endpoint wants nothing for a duration from now on. A pause never
// shortens an earlier one.
func (pa *Pauser) Record(now time.Time, id ml.EndpointID, in ml.Incarnation, duration time.Duration) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if pa.pauses == nil {
		pa.pauses = make(map[ml.EndpointID]pause)
	}
	until := now.Add(duration)
	if old, found := pa.pauses[id]; found && old.incarnation == in && old.until.After(until) {
		return
	}
	pa.pauses[id] = pause{in, until}
}

// Left returns how long an endpoint still wants nothing, or 0.
func (pa *Pauser) Left(now time.Time, id ml.EndpointID, in ml.Incarnation) time.Duration {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	ps, found := pa.pauses[id]
	if !found || ps.incarnation != in {
		return 0
	}
	return max(ps.until.Sub(now), 0)
}

// Prune drops the pauses that have ended.
func (pa *Pauser) Prune(now time.Time) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	for id, ps := range pa.pauses {
		if !ps.until.After(now) {
			delete(pa.pauses, id)
		}
	}
}
