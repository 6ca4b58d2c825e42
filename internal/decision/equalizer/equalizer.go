// Package equalizer decides which teams have more than their share of the engines, so that their
// requests wait behind those of others. It answers more load than fits, most of it from a few
// teams: each team gets what it asks for up to an equal share, and what some do not use is divided
// among the others. It keeps no state: what a team uses follows from the requests at the engines.
package equalizer

import (
	"maps"
	"slices"

	ml "github.com/mulberrylever/mulberrylever"
)

// tolerance is the ratio of a team's use to its share from which on its requests go behind: less
// is what a short wait of a few requests causes.
const tolerance = 1.2

// Use is what requests take of the engines of a service.
type Use struct {
	Places int       // requests
	Memory ml.Tokens // of the engines
}

// Add adds the use of one request, or of a part of one.
func (us Use) Add(places int, memory ml.Tokens) Use {
	return Use{us.Places + places, us.Memory + memory}
}

// Teams holds the use of each team. The zero value is empty.
type Teams struct {
	Capacity Use // of all engines of the service
	running  map[ml.TeamID]Use
	waiting  map[ml.TeamID]Use
}

// AddRunning counts a request at an engine, or a part of one.
func (te *Teams) AddRunning(id ml.TeamID, places int, memory ml.Tokens) {
	if te.running == nil {
		te.running = make(map[ml.TeamID]Use)
	}
	te.running[id] = te.running[id].Add(places, memory)
}

// AddWaiting counts a request that waits.
func (te *Teams) AddWaiting(id ml.TeamID, memory ml.Tokens) {
	if te.waiting == nil {
		te.waiting = make(map[ml.TeamID]Use)
	}
	te.waiting[id] = te.waiting[id].Add(1, memory)
}

// share returns the share of the capacity that a use takes: of places or of memory, of whichever
// it takes more.
func (te *Teams) share(us Use) float64 {
	return max(float64(us.Places)/float64(max(te.Capacity.Places, 1)), float64(us.Memory)/float64(max(te.Capacity.Memory, 1)))
}

// Behind returns the teams that use more than their share while others wait.
func (te *Teams) Behind() map[ml.TeamID]bool {
	behind := make(map[ml.TeamID]bool)
	if len(te.waiting) == 0 {
		return behind
	}
	level := te.level()
	for id, us := range te.running {
		if te.share(us) > tolerance*level {
			behind[id] = true
		}
	}
	return behind
}

// level returns the largest share that each team can have so that all together have what is in use
// now, if none gets more than it asks for.
func (te *Teams) level() float64 {
	left, demands := 0.0, make(map[ml.TeamID]float64)
	for id, us := range te.running {
		left += te.share(us)
		demands[id] = te.share(us)
	}
	for id, us := range te.waiting {
		demands[id] = te.share(te.running[id].Add(us.Places, us.Memory))
	}
	sorted := slices.Sorted(maps.Values(demands))
	for i, demand := range sorted {
		equal := left / float64(len(sorted)-i)
		if demand >= equal {
			return equal
		}
		left -= demand
	}
	return 1
}
