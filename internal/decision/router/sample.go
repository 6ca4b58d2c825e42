package router

import (
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// sample returns a few fresh candidates: the next in turn, or at random, half
// of them from the set for the request's length. Likely ones are the home of
// the prefix and one that this VM owns.
func (ta *Table) sample(now time.Time, re Request, gp *group, home *Candidate, avoid []ml.EndpointID) []*Candidate {
	out := make([]*Candidate, 0, ta.SampleSize)
	add := func(ca *Candidate) {
		if len(out) < ta.SampleSize && usable(now, re, ca, avoid) && !slices.Contains(out, ca) {
			out = append(out, ca)
		}
	}
	set := gp.set(re.Length)
	switch ta.Policy.Sampling() {
	case Any:
	case InTurn:
		for i := 0; i < len(set) && len(out) == 0; i++ {
			gp.turn++
			add(set[gp.turn%len(set)])
		}
		return out
	case Likely:
		if re.cacheAt != "" {
			add(home)
		}
		if len(gp.own) > 0 {
			add(gp.own[ta.rng.IntN(len(gp.own))])
		}
	}
	tries, half := 4*ta.SampleSize, (ta.SampleSize+1)/2
	for i := 0; i < tries && len(out) < half; i++ {
		add(set[ta.rng.IntN(len(set))])
	}
	for i := 0; i < tries && len(out) < ta.SampleSize; i++ {
		add(gp.all[ta.rng.IntN(len(gp.all))])
	}
	if len(out) > 0 {
		return out
	}
	// Few are usable: go through a bounded run of them.
	const maxRun = 64
	start := ta.rng.IntN(len(gp.all))
	for i := range min(len(gp.all), maxRun) {
		add(gp.all[(start+i)%len(gp.all)])
	}
	return out
}

func usable(now time.Time, re Request, ca *Candidate, avoid []ml.EndpointID) bool {
	if now.Sub(ca.Heard) >= staleAfter || (ca.Endpoint.Kind == ml.KindEngine && re.Memory > ca.Endpoint.Memory) {
		return false
	}
	return !slices.Contains(avoid, ca.Endpoint.ID)
}
