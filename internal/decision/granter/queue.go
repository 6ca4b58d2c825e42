package granter

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// ageing is the time of waiting after which a length moves up by one.
const ageing = 3 * time.Second

// queue holds the asks that wait for one endpoint. Shorter prompts go first,
// teams share by weight, and long waits move up.
type queue struct {
	asks  []Request
	lines [ml.NumLengths]line
}

// line holds the virtual times of one length. Each length has its own: shorter
// asks are served first, and must not move a team's longer ones.
type line struct {
	teams map[ml.TeamID]float64 // up to which a team was served
	clock float64               // of the ask served last
}

func (qu *queue) len() int { return len(qu.asks) }

// push adds an ask at its team's virtual time: a team with twice the weight
// advances half as fast, and one that was idle starts at the present.
func (qu *queue) push(as Request) {
	li := &qu.lines[as.Length]
	if li.teams == nil {
		li.teams = make(map[ml.TeamID]float64)
	}
	weight := as.Weight
	if weight <= 0 {
		weight = 1
	}
	as.start = qu.startOf(as)
	li.teams[as.Team] = as.start + float64(as.Prompt+1)/weight
	qu.asks = append(qu.asks, as)
}

// startOf returns the virtual time at which a new ask begins.
func (qu *queue) startOf(as Request) float64 {
	li := qu.lines[as.Length]
	return max(li.clock, li.teams[as.Team])
}

// fit tells whether an ask can be granted, or what it waits for.
type fit int

const (
	fitsNow   fit = iota
	needsTurn     // for what the engine has of its length; others may pass
	needsRoom     // for requests or memory that others would take, too
)

// next removes and returns the first ask that fits.
func (qu *queue) next(now time.Time, fits func(Request) fit) (Request, bool) {
	if len(qu.asks) == 0 {
		qu.forgetTeams()
		return Request{}, false
	}
	ra := qu.ranks(now)
	slices.SortStableFunc(qu.asks, ra.compare)
	waitsForTurn := [ml.NumLengths]bool{}
	for i, as := range qu.asks {
		if waitsForTurn[as.Length] {
			continue
		}
		what := fits(as)
		switch {
		case what == fitsNow:
			qu.asks = slices.Delete(qu.asks, i, i+1)
			li := &qu.lines[as.Length]
			li.clock = max(li.clock, as.start)
			return as, true
		case what == needsTurn:
			waitsForTurn[as.Length] = true
		case ra[as.Length].value < int(as.Length):
			// Its length has waited long: nothing behind takes the room
			// that is given back.
			return Request{}, false
		}
	}
	return Request{}, false
}

// rank orders the lengths. The lowest goes first.
type rank struct {
	value  int       // the length, less one for each ageing interval that its oldest ask has waited
	oldest time.Time // arrival of that ask
}

// ranks holds the rank of each length at one time. Within a length teams share,
// however long their asks have waited.
type ranks [ml.NumLengths]rank

func (qu *queue) ranks(now time.Time) ranks {
	out := ranks{}
	for le := range out {
		out[le] = rank{value: le, oldest: now}
	}
	for _, as := range qu.asks {
		if ra := &out[as.Length]; as.arrived.Before(ra.oldest) {
			ra.oldest = as.arrived
			ra.value = int(as.Length) - int(now.Sub(as.arrived)/ageing)
		}
	}
	return out
}

// compare tells which of two asks goes first: by the ranks of their lengths,
// then by the virtual times of their teams.
func (ra ranks) compare(a, b Request) int {
	x, y := ra[a.Length], ra[b.Length]
	return cmp.Or(
		cmp.Compare(x.value, y.value), x.oldest.Compare(y.oldest), cmp.Compare(a.Length, b.Length),
		cmp.Compare(a.start, b.start), a.Deadline.Compare(b.Deadline),
	)
}

// expired removes and returns the asks that can't be complete in time.
func (qu *queue) expired(now time.Time) []Request {
	late := []Request{}
	qu.asks = slices.DeleteFunc(qu.asks, func(as Request) bool {
		if now.Add(as.Needs).After(as.Deadline) {
			late = append(late, as)
			return true
		}
		return false
	})
	return late
}

func (qu *queue) remove(id ml.GrantID) {
	qu.asks = slices.DeleteFunc(qu.asks, func(as Request) bool { return as.ID == id })
}

// ahead counts the asks, and their prompt tokens, that go before a new one of
// the given length.
func (qu *queue) ahead(le ml.Length) (asks int, tokens ml.Tokens) {
	for _, as := range qu.asks {
		if as.Length <= le {
			asks++
			tokens += max(as.Prompt-as.Cached, 0)
		}
	}
	return asks, tokens
}

// before counts the asks, and their prompt tokens, that would go before a new
// one. Those of other teams that have had more than their share don't.
func (qu *queue) before(now time.Time, as Request) (asks int, tokens ml.Tokens) {
	as.start = qu.startOf(as)
	ra := qu.ranks(now)
	for _, other := range qu.asks {
		if ra.compare(other, as) <= 0 {
			asks++
			tokens += max(other.Prompt-other.Cached, 0)
		}
	}
	return asks, tokens
}

// displace removes and returns the ask that would go last, if it goes after a
// new one.
func (qu *queue) displace(now time.Time, as Request) (Request, bool) {
	as.start = qu.startOf(as)
	ra, last := qu.ranks(now), 0
	for i := range qu.asks {
		if ra.compare(qu.asks[i], qu.asks[last]) > 0 {
			last = i
		}
	}
	if ra.compare(qu.asks[last], as) <= 0 {
		return Request{}, false
	}
	out := qu.asks[last]
	qu.asks = slices.Delete(qu.asks, last, last+1)
	return out, true
}

func (qu *queue) long() int {
	n := 0
	for _, as := range qu.asks {
		if as.Length >= ml.Long {
			n++
		}
	}
	return n
}

// forgetTeams drops the history of teams when nothing is waiting.
func (qu *queue) forgetTeams() {
	qu.lines = [ml.NumLengths]line{}
}
