package forwarder

import (
	"maps"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/equalizer"
)

// shareAmongTeams puts requests behind whose teams use more than their share of a service's
// engines, by the requests that are at the engines and those that wait. Requests without a team,
// and those of earlier releases, which don't say it, are never put behind.
func (fo *Forwarder) shareAmongTeams(ro *round, items []*item) {
	all := make(map[ml.ServiceName]*equalizer.Teams)
	for _, it := range items {
		if it.team == "" {
			continue
		}
		if all[it.service] == nil {
			all[it.service] = fo.runningByTeam(ro, it)
		}
		all[it.service].AddWaiting(it.team, it.placerReq.Prompt+it.placerReq.Answer)
	}
	behind := make(map[ml.ServiceName]map[ml.TeamID]bool)
	for service, te := range all {
		behind[service] = te.Behind()
	}
	fo.queue.setBehind(items, behind)
	fo.logBehind(ro.now, behind)
}

// runningByTeam returns what each team uses of the engines of a request's service.
func (fo *Forwarder) runningByTeam(ro *round, it *item) *equalizer.Teams {
	te := &equalizer.Teams{}
	pr := it.placerReq.Profile
	for _, ca := range fo.service(ro, it.service).candidates {
		te.Capacity = te.Capacity.Add(pr.Slots, pr.Memory)
		for i := range ca.Flights {
			if fl := &ca.Flights[i]; fl.Team != "" {
				te.AddRunning(fl.Team, fl.Places(), fl.Memory)
			}
		}
	}
	return te
}

// minBehindInterval bounds how often it is logged which teams go behind.
const minBehindInterval = time.Second

// logBehind logs when other teams than before go behind.
func (fo *Forwarder) logBehind(now time.Time, behind map[ml.ServiceName]map[ml.TeamID]bool) {
	teams := make(map[ml.TeamID]bool)
	for _, all := range behind {
		maps.Copy(teams, all)
	}
	if maps.Equal(teams, fo.teamsBehind) || now.Sub(fo.teamsLoggedAt) < minBehindInterval {
		return
	}
	fo.teamsBehind, fo.teamsLoggedAt = teams, now
	fo.Log.Info("teams behind", "teams", slices.Sorted(maps.Keys(teams)))
}
