package granter

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// ageing is the time after which a waiting request moves up by one length.
const ageing = 3 * time.Second

// queue holds the asks that wait for one endpoint. Shorter prompts go first,
// teams share by weight, and long waits move up.
type queue struct {
	asks  []Ask
	teams map[ml.TeamID]float64 // virtual time up to which a team was served
	clock float64               // virtual time of the ask served last
}

func (qu *queue) len() int { return len(qu.asks) }

// push adds an ask at its team's virtual time: a team with twice the weight
// advances half as fast, and one that was idle starts at the present.
func (qu *queue) push(as Ask) {
	if qu.teams == nil {
		qu.teams = make(map[ml.TeamID]float64)
	}
	weight := as.Weight
	if weight <= 0 {
		weight = 1
	}
	as.start = qu.startOf(as.Team)
	qu.teams[as.Team] = as.start + float64(as.Prompt+1)/weight
	qu.asks = append(qu.asks, as)
}

// startOf returns the virtual time at which a new ask of a team begins.
func (qu *queue) startOf(id ml.TeamID) float64 { return max(qu.clock, qu.teams[id]) }

// next removes and returns the first ask that fits.
func (qu *queue) next(now time.Time, fits func(Ask) bool) (Ask, bool) {
	if len(qu.asks) == 0 {
		qu.forgetTeams()
		return Ask{}, false
	}
	slices.SortStableFunc(qu.asks, func(a, b Ask) int { return order(now, a, b) })
	for i, as := range qu.asks {
		if fits(as) {
			qu.asks = slices.Delete(qu.asks, i, i+1)
			qu.clock = max(qu.clock, as.start)
			return as, true
		}
		if rank(now, as) < int(as.Length) {
			// It has waited long: nothing of its rank or behind overtakes it.
			return Ask{}, false
		}
	}
	return Ask{}, false
}

// order tells which of two asks goes first: by rank, then by the virtual times
// of their teams.
func order(now time.Time, a, b Ask) int {
	return cmp.Or(cmp.Compare(rank(now, a), rank(now, b)), cmp.Compare(a.start, b.start), a.Deadline.Compare(b.Deadline))
}

// rank orders asks: the length, less one for each ageing interval waited.
func rank(now time.Time, as Ask) int {
	return int(as.Length) - int(now.Sub(as.arrived)/ageing)
}

// expired removes and returns the asks that can't be complete in time.
func (qu *queue) expired(now time.Time) []Ask {
	late := []Ask{}
	qu.asks = slices.DeleteFunc(qu.asks, func(as Ask) bool {
		if now.Add(as.Needs).After(as.Deadline) {
			late = append(late, as)
			return true
		}
		return false
	})
	return late
}

func (qu *queue) remove(id ml.GrantID) {
	qu.asks = slices.DeleteFunc(qu.asks, func(as Ask) bool { return as.ID == id })
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
func (qu *queue) before(now time.Time, as Ask) (asks int, tokens ml.Tokens) {
	as.start = qu.startOf(as.Team)
	for _, other := range qu.asks {
		if order(now, other, as) <= 0 {
			asks++
			tokens += max(other.Prompt-other.Cached, 0)
		}
	}
	return asks, tokens
}

// displace removes and returns the ask that would go last, if it goes after a
// new one.
func (qu *queue) displace(now time.Time, as Ask) (Ask, bool) {
	as.start = qu.startOf(as.Team)
	last := 0
	for i := range qu.asks {
		if order(now, qu.asks[i], qu.asks[last]) > 0 {
			last = i
		}
	}
	if order(now, qu.asks[last], as) <= 0 {
		return Ask{}, false
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
	clear(qu.teams)
	qu.clock = 0
}
