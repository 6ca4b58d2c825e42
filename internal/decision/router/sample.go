package router

import (
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// sample returns a few usable candidates, as the policy's sampling says.
// PreferredSampling starts with the home of the prefix and an endpoint that this
// VM owns. Random candidates come from the set for the request's length until
// half of the sample is full, and then from all endpoints.
func (ta *Table) sample(now time.Time, re Request, gp *group, home *Candidate, avoid []ml.EndpointID) []*Candidate {
	out := make([]*Candidate, 0, ta.SampleSize)
	add := func(ca *Candidate) {
		if len(out) < ta.SampleSize && usable(now, re, ca, avoid) && !slices.Contains(out, ca) {
			out = append(out, ca)
		}
	}
	set := gp.lengthSet(re.Length)
	switch ta.Policy.Sampling() {
	case RandomSampling:
	case RoundRobinSampling:
		for i := 0; i < len(set) && len(out) == 0; i++ {
			gp.lastRoundRobin++
			add(set[gp.lastRoundRobin%len(set)])
		}
		return out
	case PreferredSampling:
		if re.cacheEndpoint != "" {
			add(home)
		}
		if len(gp.owned) > 0 {
			add(gp.owned[ta.rng.IntN(len(gp.owned))])
		}
	}
	tries, half := 4*ta.SampleSize, (ta.SampleSize+1)/2
	for i := 0; i < tries && len(out) < half; i++ {
		add(set[ta.rng.IntN(len(set))])
	}
	for i := 0; i < tries && len(out) < ta.SampleSize; i++ {
		add(gp.candidates[ta.rng.IntN(len(gp.candidates))])
	}
	if len(out) > 0 {
		return out
	}
	// Few endpoints are usable: scan a bounded number of them.
	const maxScan = 64
	start := ta.rng.IntN(len(gp.candidates))
	for i := range min(len(gp.candidates), maxScan) {
		add(gp.candidates[(start+i)%len(gp.candidates)])
	}
	return out
}

// usable reports whether ca has a fresh load, can hold the request in memory and
// is not one of avoid.
func usable(now time.Time, re Request, ca *Candidate, avoid []ml.EndpointID) bool {
	if now.Sub(ca.LoadReceivedAt) >= maxLoadAge || (ca.Endpoint.Kind == ml.KindEngine && re.Memory > ca.Endpoint.Memory) {
		return false
	}
	return !slices.Contains(avoid, ca.Endpoint.ID)
}
