// Package admitter decides whether a request is taken in at all: within the
// team's limit, and within the bytes that the process may hold.
package admitter

import (
	"fmt"
	"sync"

	ml "github.com/mulberrylever/mulberrylever"
)

// Admitter counts what was taken in. The zero value admits nothing, since it
// has no room for bodies.
type Admitter struct {
	MaxBytes int64 // bodies held at once

	mu       sync.Mutex
	bytes    int64
	requests int
	teams    map[ml.TeamID]int
	closed   bool
}

// Ticket is an admission. It must be returned with Leave.
type Ticket struct {
	ad    *Admitter
	team  ml.TeamID
	bytes int64
	once  sync.Once
}

// Enter takes in a request of a team, at most maxInFlight at once (0 for no
// limit), with a body of up to bytes.
func (ad *Admitter) Enter(team ml.TeamID, maxInFlight int, bytes int64) (*Ticket, error) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if ad.closed {
		return nil, ad.refuse(ml.ErrUnavailable, "this VM is stopping")
	}
	if maxInFlight > 0 && ad.teams[team] >= maxInFlight {
		return nil, ad.refuse(ml.ErrOverloaded, "team %q has %d requests under way, its limit", team, maxInFlight)
	}
	if ad.bytes+bytes > ad.MaxBytes {
		return nil, ad.refuse(ml.ErrOverloaded, "requests under way hold %d bytes, the limit is %d", ad.bytes, ad.MaxBytes)
	}
	if ad.teams == nil {
		ad.teams = make(map[ml.TeamID]int)
	}
	ad.bytes += bytes
	ad.requests++
	ad.teams[team]++
	return &Ticket{ad: ad, team: team, bytes: bytes}, nil
}

// Leave returns the admission. Only the first call counts.
func (ti *Ticket) Leave() {
	ti.once.Do(func() {
		ad := ti.ad
		ad.mu.Lock()
		defer ad.mu.Unlock()
		ad.bytes -= ti.bytes
		ad.requests--
		ad.teams[ti.team]--
		if ad.teams[ti.team] == 0 {
			delete(ad.teams, ti.team)
		}
	})
}

// Close refuses all further requests.
func (ad *Admitter) Close() {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.closed = true
}

// InFlight returns how many requests are under way.
func (ad *Admitter) InFlight() int {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.requests
}

func (ad *Admitter) refuse(ty ml.ErrorType, format string, args ...any) error {
	return &ml.Error{Type: ty, Step: "admit", NotRun: true, Err: fmt.Errorf(format, args...)}
}
