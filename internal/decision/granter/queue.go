package granter

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// agingInterval is the time that a length's oldest request must wait for the
// length to move up by one rank.
const agingInterval = 3 * time.Second

// queue holds the requests that wait for one endpoint. Shorter prompts go
// first, and a length moves up the longer its oldest request waits. Within a
// length, teams are served by weighted fair queuing.
type queue struct {
	requests []Request
	clocks   [ml.NumLengths]virtualClock
}

// virtualClock holds the virtual times of one length. Each length has its own,
// so that a team's short requests, which are served first, don't delay its
// longer ones.
type virtualClock struct {
	teamEnds map[ml.TeamID]float64 // end of the team's last request
	current  float64               // start of the request granted last
}

func (qu *queue) len() int { return len(qu.requests) }

// push adds a request at its team's virtual time. A team with twice the weight
// advances half as fast, and an idle team starts at the current virtual time.
func (qu *queue) push(rq Request) {
	vc := &qu.clocks[rq.Length]
	if vc.teamEnds == nil {
		vc.teamEnds = make(map[ml.TeamID]float64)
	}
	weight := rq.Weight
	if weight <= 0 {
		weight = 1
	}
	rq.virtualStart = qu.virtualStartOf(rq)
	vc.teamEnds[rq.Team] = rq.virtualStart + float64(rq.Prompt+1)/weight
	qu.requests = append(qu.requests, rq)
}

// virtualStartOf returns the virtual start time of a new request.
func (qu *queue) virtualStartOf(rq Request) float64 {
	vc := qu.clocks[rq.Length]
	return max(vc.current, vc.teamEnds[rq.Team])
}

// admission is whether a request can be granted, or what blocks it.
type admission int

const (
	admitted          admission = iota
	blockedByLength             // by granted prompts of its length; other lengths may pass it
	blockedByCapacity           // by a request or memory limit that all lengths share
)

// next removes and returns the first request that check admits.
func (qu *queue) next(now time.Time, check func(Request) admission) (Request, bool) {
	if len(qu.requests) == 0 {
		qu.resetClocks()
		return Request{}, false
	}
	ra := qu.ranks(now)
	slices.SortStableFunc(qu.requests, ra.compare)
	blockedLengths := [ml.NumLengths]bool{}
	for i, rq := range qu.requests {
		if blockedLengths[rq.Length] {
			continue
		}
		ad := check(rq)
		switch {
		case ad == admitted:
			qu.requests = slices.Delete(qu.requests, i, i+1)
			vc := &qu.clocks[rq.Length]
			vc.current = max(vc.current, rq.virtualStart)
			return rq, true
		case ad == blockedByLength:
			blockedLengths[rq.Length] = true
		case ra[rq.Length].agedLength < int(rq.Length):
			// Its length has moved up by waiting: keep the capacity that
			// becomes free for it.
			return Request{}, false
		}
	}
	return Request{}, false
}

// rank orders the lengths. The lowest goes first.
type rank struct {
	agedLength    int       // the length, less one for each agingInterval that its oldest request has waited
	oldestArrival time.Time // arrival of that request
}

// ranks holds the rank of each length at one time. Waiting changes only the
// order of the lengths, not that of the requests within a length.
type ranks [ml.NumLengths]rank

func (qu *queue) ranks(now time.Time) ranks {
	out := ranks{}
	for le := range out {
		out[le] = rank{agedLength: le, oldestArrival: now}
	}
	for _, rq := range qu.requests {
		if ra := &out[rq.Length]; rq.arrivedAt.Before(ra.oldestArrival) {
			ra.oldestArrival = rq.arrivedAt
			ra.agedLength = int(rq.Length) - int(now.Sub(rq.arrivedAt)/agingInterval)
		}
	}
	return out
}

// compare orders two requests by the ranks of their lengths, then by their
// virtual start times.
func (ra ranks) compare(a, b Request) int {
	x, y := ra[a.Length], ra[b.Length]
	return cmp.Or(
		cmp.Compare(x.agedLength, y.agedLength), x.oldestArrival.Compare(y.oldestArrival), cmp.Compare(a.Length, b.Length),
		cmp.Compare(a.virtualStart, b.virtualStart), a.Deadline.Compare(b.Deadline),
	)
}

// removeExpired removes and returns the requests that can't complete in time.
func (qu *queue) removeExpired(now time.Time) []Request {
	expired := []Request{}
	qu.requests = slices.DeleteFunc(qu.requests, func(rq Request) bool {
		if now.Add(rq.MinDuration).After(rq.Deadline) {
			expired = append(expired, rq)
			return true
		}
		return false
	})
	return expired
}

func (qu *queue) remove(id ml.GrantID) {
	qu.requests = slices.DeleteFunc(qu.requests, func(rq Request) bool { return rq.ID == id })
}

// aheadOfLength counts the queued requests, and their uncached prompt tokens,
// that an engine would process before a new prompt of the given length.
func (qu *queue) aheadOfLength(le ml.Length) (requests int, tokens ml.Tokens) {
	for _, rq := range qu.requests {
		if rq.Length <= le {
			requests++
			tokens += max(rq.Prompt-rq.Cached, 0)
		}
	}
	return requests, tokens
}

// aheadOf counts the queued requests, and their uncached prompt tokens, that
// would be granted before a new one. Requests of teams that have had more than
// their share come after it.
func (qu *queue) aheadOf(now time.Time, rq Request) (requests int, tokens ml.Tokens) {
	rq.virtualStart = qu.virtualStartOf(rq)
	ra := qu.ranks(now)
	for _, other := range qu.requests {
		if ra.compare(other, rq) <= 0 {
			requests++
			tokens += max(other.Prompt-other.Cached, 0)
		}
	}
	return requests, tokens
}

// evictLast removes and returns the last request in the queue's order, if a new
// one goes before it.
func (qu *queue) evictLast(now time.Time, rq Request) (Request, bool) {
	rq.virtualStart = qu.virtualStartOf(rq)
	ra, last := qu.ranks(now), 0
	for i := range qu.requests {
		if ra.compare(qu.requests[i], qu.requests[last]) > 0 {
			last = i
		}
	}
	if ra.compare(qu.requests[last], rq) <= 0 {
		return Request{}, false
	}
	out := qu.requests[last]
	qu.requests = slices.Delete(qu.requests, last, last+1)
	return out, true
}

func (qu *queue) countLong() int {
	n := 0
	for _, rq := range qu.requests {
		if rq.Length >= ml.Long {
			n++
		}
	}
	return n
}

// resetClocks resets the virtual times. It is called when the queue is empty.
func (qu *queue) resetClocks() {
	qu.clocks = [ml.NumLengths]virtualClock{}
}
