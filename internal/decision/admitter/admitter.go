// Package admitter decides whether a request is taken in at all: within the
// team's limits, and within the bytes that the process may hold.
package admitter

import (
	"fmt"
	"sync"

	ml "github.com/mulberrylever/mulberrylever"
)

// teamPart is the part of all bytes that one team may hold, so that a flood of
// long prompts leaves room for the others.
const teamPart = 2

// team is what one team has under way.
type team struct {
	requests int
	bytes    int64
}

// Admitter counts what was taken in. The zero value admits nothing, since it
// has no room for bodies.
type Admitter struct {
	MaxBytes int64 // bodies held at once

	mu       sync.Mutex
	bytes    int64
	requests int
	teams    map[ml.TeamID]team
	closed   bool
}

// Ticket is an admission. It must be returned with Leave.
type Ticket struct {
	ad    *Admitter
	team  ml.TeamID
	bytes int64
	once  sync.Once
}

// Admit takes in a request of a team, at most maxInFlight at once (0 for no
// limit), with a body of up to bytes.
func (ad *Admitter) Admit(id ml.TeamID, maxInFlight int, bytes int64) (*Ticket, error) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if ad.closed {
		return nil, ad.refuse(ml.ErrUnavailable, "this VM is stopping")
	}
	te := ad.teams[id]
	if maxInFlight > 0 && te.requests >= maxInFlight {
		return nil, ad.refuse(ml.ErrOverloaded, "team %q has %d requests under way, its limit", id, maxInFlight)
	}
	if te.bytes+bytes > ad.MaxBytes/teamPart {
		return nil, ad.refuse(ml.ErrOverloaded, "requests of team %q hold %d bytes, its limit is %d", id, te.bytes, ad.MaxBytes/teamPart)
	}
	if ad.bytes+bytes > ad.MaxBytes {
		return nil, ad.refuse(ml.ErrOverloaded, "requests under way hold %d bytes, the limit is %d", ad.bytes, ad.MaxBytes)
	}
	if ad.teams == nil {
		ad.teams = make(map[ml.TeamID]team)
	}
	ad.bytes += bytes
	ad.requests++
	ad.teams[id] = team{te.requests + 1, te.bytes + bytes}
	return &Ticket{ad: ad, team: id, bytes: bytes}, nil
}

// Release returns the admission. Only the first call counts.
func (ti *Ticket) Release() {
	ti.once.Do(func() {
		ad := ti.ad
		ad.mu.Lock()
		defer ad.mu.Unlock()
		ad.bytes -= ti.bytes
		ad.requests--
		te := ad.teams[ti.team]
		ad.teams[ti.team] = team{te.requests - 1, te.bytes - ti.bytes}
		if te.requests == 1 {
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
