// Package ranker decides how the ranks of requests that compete for engines weigh. It answers a
// load of which only a part fits: the operators' ranks say which part is served first, and waiting
// moves a request up, so that no rank starves.
package ranker

import (
	"math"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// weightPerRank is how many requests of one rank weigh as much as one of the rank above it.
	weightPerRank = 2
	// ageStep is the waiting time after which a request moves up by one rank: callers of streams
	// wait at least so long for a first event.
	ageStep = 2 * time.Second
)

// Effective returns the rank of a route's requests with a team's key. A team's own rank, if it has
// one, takes precedence.
func Effective(ro *ml.Route, te *ml.TeamKeys) ml.Priority {
	if te != nil && te.Priority != nil {
		return *te.Priority
	}
	return ro.Priority
}

// SetRanges sets the ranks that the requests of each service may have.
func SetRanges(co *ml.ServingConfig) {
	for i := range co.Services {
		co.Services[i].Ranks = rangeOf(co, co.Services[i].Name)
	}
}

func rangeOf(co *ml.ServingConfig, service ml.ServiceName) ml.RankRange {
	rr, found := ml.RankRange{}, false
	add := func(pr ml.Priority) {
		if !found {
			rr, found = ml.RankRange{Highest: pr, Lowest: pr}, true
		}
		rr.Highest, rr.Lowest = min(rr.Highest, pr), max(rr.Lowest, pr)
	}
	for i := range co.Routes {
		if !co.Routes[i].LeadsTo(service) {
			continue
		}
		add(co.Routes[i].Priority)
		for j := range co.Teams {
			if pr := co.Teams[j].Priority; pr != nil && !co.Routes[i].Public {
				add(*pr)
			}
		}
	}
	return rr
}

// Aged returns the rank of a request at now that has waited since a time.
func Aged(now, since time.Time, pr ml.Priority, rr ml.RankRange) ml.Priority {
	return max(pr-ml.Priority(now.Sub(since)/ageStep), rr.Highest)
}

// Weight returns the factor by which the value of a request counts beside those of the other
// requests for its service: 1 for the highest rank, and less below it. It is 1 where all have the same rank.
func Weight(pr ml.Priority, rr ml.RankRange) float64 {
	if !rr.Differ() {
		return 1
	}
	return math.Pow(weightPerRank, float64(rr.Highest-pr))
}

// ForEngine returns the rank that an engine is told: that of the request where ranks differ, and
// otherwise one by the length of its prompt.
func ForEngine(pr ml.Priority, rr ml.RankRange, byLength ml.Priority) ml.Priority {
	if rr.Differ() {
		return pr
	}
	return byLength
}
