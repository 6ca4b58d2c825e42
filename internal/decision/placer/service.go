package placer

import (
	ml "github.com/mulberrylever/mulberrylever"
)

// ServiceCandidate is an endpoint of a plain service that may take a call.
type ServiceCandidate struct {
	Endpoint    ml.ListedEndpoint
	Running     int
	FailureRate float64
	Blocked     bool
}

// failWeight is how much of a full endpoint's load a certain failure counts.
const failWeight = 4.0

// ChooseService returns the index of the candidate with the least load for its
// places, leaving those that fail more than the others. Roll is a random number
// from 0 up to 1 that decides between equals. It returns -1 when there is none.
func ChooseService(domain ml.DomainID, candidates []ServiceCandidate, roll float64) int {
	least := 1.0
	for _, ca := range candidates {
		least = min(least, ca.FailureRate)
	}
	best, bestCost := -1, 0.0
	start := int(roll * float64(len(candidates)))
	for i := range candidates {
		at := (start + i) % len(candidates)
		ca := candidates[at]
		if ca.Blocked {
			continue
		}
		cost := float64(ca.Running)/float64(max(ca.Endpoint.MaxRequests, 1)) + failWeight*(ca.FailureRate-least)
		if ca.Endpoint.Domain != domain {
			cost += farCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = at, cost
		}
	}
	return best
}
