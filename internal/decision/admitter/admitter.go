// Package admitter implements admission control: it limits the concurrent requests of
// each team and the bytes of request bodies in memory.
package admitter

import (
	"fmt"
	"sync"

	ml "github.com/mulberrylever/mulberrylever"
)

// teamBytesDivisor limits the bodies of one team to MaxBytes/teamBytesDivisor, so that
// many long prompts of one team leave memory for the others.
const teamBytesDivisor = 2

// team holds the in-flight totals of one team.
type team struct {
	requests int
	bytes    int64
}

// Admitter counts admitted requests and their bytes. The zero value rejects every
// request with a body, since MaxBytes is zero. It is safe for concurrent use.
type Admitter struct {
	MaxBytes int64 // limit of the bodies of all in-flight requests

	mu       sync.Mutex
	bytes    int64
	requests int
	teams    map[ml.TeamID]team
	closed   bool
}

// Ticket is an admission of one request. It must be released.
type Ticket struct {
	ad    *Admitter
	team  ml.TeamID
	bytes int64
	once  sync.Once
}

// Admit admits a request of a team with a body of up to the given bytes. maxInFlight
// is the team's limit of concurrent requests, 0 for none.
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
	if err := ad.checkBytes(id, bytes); err != nil {
		return nil, err
	}
	if ad.teams == nil {
		ad.teams = make(map[ml.TeamID]team)
	}
	ad.bytes += bytes
	ad.requests++
	ad.teams[id] = team{te.requests + 1, te.bytes + bytes}
	return &Ticket{ad: ad, team: id, bytes: bytes}, nil
}

// checkBytes returns an error if a team's requests must not hold more bytes. The caller must hold
// ad.mu.
func (ad *Admitter) checkBytes(id ml.TeamID, bytes int64) error {
	te := ad.teams[id]
	if te.bytes+bytes > ad.MaxBytes/teamBytesDivisor {
		return ad.refuse(ml.ErrOverloaded, "requests of team %q hold %d bytes, its limit is %d", id, te.bytes, ad.MaxBytes/teamBytesDivisor)
	}
	if ad.bytes+bytes > ad.MaxBytes {
		return ad.refuse(ml.ErrOverloaded, "requests under way hold %d bytes, the limit is %d", ad.bytes, ad.MaxBytes)
	}
	return nil
}

// Grow admits n bytes more of the request's body, as it is read. It must not be called after
// Release.
func (ti *Ticket) Grow(n int) error {
	ad := ti.ad
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if err := ad.checkBytes(ti.team, int64(n)); err != nil {
		return err
	}
	ti.bytes += int64(n)
	ad.bytes += int64(n)
	te := ad.teams[ti.team]
	ad.teams[ti.team] = team{te.requests, te.bytes + int64(n)}
	return nil
}

// Release releases the admission. Further calls have no effect.
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

// Close rejects all further requests.
func (ad *Admitter) Close() {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.closed = true
}

// InFlight returns the number of admitted requests that are not released yet.
func (ad *Admitter) InFlight() int {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.requests
}

func (ad *Admitter) refuse(ty ml.ErrorType, format string, args ...any) error {
	return &ml.Error{Type: ty, Step: "admit", NotRun: true, Err: fmt.Errorf(format, args...)}
}
