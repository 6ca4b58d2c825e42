// Package ranker decides how the ranks of requests that compete for engines weigh. It answers a
// load of which only a part fits: the operators' ranks say which part is served first, and waiting
// moves a request up, so that no rank starves.
package ranker

import (
	"math"
	"slices"
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
	routes, teams, hasTeams := []ml.Priority{}, []ml.Priority{}, false
	for i := range co.Routes {
		if co.Routes[i].LeadsTo(service) {
			routes = append(routes, co.Routes[i].Priority)
			hasTeams = hasTeams || !co.Routes[i].Public
		}
	}
	for i := range co.Teams {
		if pr := co.Teams[i].Priority; pr != nil && hasTeams {
			teams = append(teams, *pr)
		}
	}
	if len(routes) == 0 {
		return ml.RankRange{}
	}
	all := slices.Concat(routes, teams)
	if len(co.Teams) > 0 && len(teams) == len(co.Teams) {
		all = teams // the routes' ranks are never effective
	}
	rr := ml.RankRange{Highest: slices.Min(all), Lowest: slices.Max(all), HighestRoute: slices.Min(routes), LowestRoute: slices.Max(routes)}
	if len(teams) > 0 {
		rr.HighestTeam, rr.LowestTeam = slices.Min(teams), slices.Max(teams)
	}
	return rr
}

// Aged returns the rank of a request at now that has waited since a time.
func Aged(now, since time.Time, pr ml.Priority, rr ml.RankRange) ml.Priority {
	return max(pr-ml.Priority(now.Sub(since)/ageStep), rr.Highest)
}

// Weight returns the factor by which the value of a request counts beside those of the other
// requests for its service: 1 for the highest rank, and half for each rank below, of the team and of
// the route. So routes count even where teams' ranks go before theirs. A team without a rank counts
// like the lowest of those that have one.
func Weight(ro *ml.Route, te *ml.TeamKeys, rr ml.RankRange) float64 {
	team := rr.LowestTeam
	if te != nil && te.Priority != nil {
		team = *te.Priority
	}
	return math.Pow(weightPerRank, -float64(team-rr.HighestTeam+ro.Priority-rr.HighestRoute))
}

// AgedWeight returns the weight at now of a request that has waited since a time. 0 counts as 1.
func AgedWeight(now, since time.Time, weight float64) float64 {
	if weight == 0 {
		return 1
	}
	return min(weight*math.Pow(weightPerRank, float64(now.Sub(since)/ageStep)), 1)
}

// ForEngine returns the rank that an engine is told: that of the request where ranks differ, and
// otherwise one by the length of its prompt.
func ForEngine(pr ml.Priority, rr ml.RankRange, byLength ml.Priority) ml.Priority {
	if rr.Differ() {
		return pr
	}
	return byLength
}
