package placer

import (
	ml "github.com/mulberrylever/mulberrylever"
)

// ServiceCandidate is an endpoint of a plain service that may take a call.
type ServiceCandidate struct {
	Endpoint    ml.ListedEndpoint
	Running     int
	FailureRate float64 // expected share of failing requests
	Blocked     bool    // must not get requests now
}

// failureWeight weighs the failure rate against the load: an endpoint that always
// fails counts like one with this many times its capacity in use.
const failureWeight = 4.0

// ChooseService returns the index of the candidate with the lowest load relative
// to its capacity, or -1 if there is none. It avoids candidates that fail more
// often than the others. The random number roll, from 0 up to 1, decides between
// equals.
func ChooseService(domain ml.DomainID, candidates []ServiceCandidate, roll float64) int {
	minFailureRate := 1.0
	for _, ca := range candidates {
		minFailureRate = min(minFailureRate, ca.FailureRate)
	}
	best, bestCost := -1, 0.0
	start := int(roll * float64(len(candidates)))
	for i := range candidates {
		at := (start + i) % len(candidates)
		ca := candidates[at]
		if ca.Blocked {
			continue
		}
		cost := float64(ca.Running)/float64(max(ca.Endpoint.MaxRequests, 1)) + failureWeight*(ca.FailureRate-minFailureRate)
		if ca.Endpoint.Domain != domain {
			cost += crossDomainCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = at, cost
		}
	}
	return best
}
