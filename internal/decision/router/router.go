// Package router decides which endpoint a request is offered to. It keeps the
// newest load of each endpoint that was heard of and looks at a few
// candidates per request, however many endpoints there are.
package router

import (
	"math"
	"math/rand/v2"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// Candidate is an endpoint that a request may be offered to.
type Candidate struct {
	Endpoint ml.Endpoint
	Owner    ml.VMID
	Load     ml.EndpointLoad
	Heard    time.Time // when the load was received
	InFlight int       // requests of this VM at the endpoint
	Added    ml.Tokens // prompt tokens that this VM has offered since Heard
	AddedReq int       // requests that this VM has offered since Heard

	order uint64 // place among the endpoints of its group
}

// Request is what routing needs to know of a request.
type Request struct {
	Model   ml.ModelID
	Service ml.ServiceName
	Length  ml.Length
	Prompt  ml.Tokens
	Memory  ml.Tokens
	Prefix  uint64 // hash of the prompt's first block; zero for none
	Home    ml.DomainID
}

// Policy picks one of a few candidates.
type Policy interface {
	Pick(rng *rand.Rand, re Request, cands []*Candidate) int
}

// PolicyNames lists the names that ByName takes.
var PolicyNames = []string{"predicted", "leastInFlight", "roundRobin", "random"}

// ByName returns the policy of a name; an unknown name is the predicted one.
func ByName(name string) Policy {
	switch name {
	case "random":
		return Random{}
	case "roundRobin":
		return &RoundRobin{}
	case "leastInFlight":
		return LeastInFlight{}
	default:
		return Predicted{}
	}
}

// Random picks any candidate.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(rng *rand.Rand, _ Request, cands []*Candidate) int { return rng.IntN(len(cands)) }

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (rr *RoundRobin) Pick(_ *rand.Rand, _ Request, cands []*Candidate) int {
	rr.next++
	return rr.next % len(cands)
}

// LeastInFlight picks the candidate with the fewest requests of this VM.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(rng *rand.Rand, _ Request, cands []*Candidate) int {
	return least(rng, cands, func(ca *Candidate) float64 { return float64(ca.InFlight) })
}

// Predicted picks the candidate with the least predicted time to the first
// token.
type Predicted struct{}

// Pick implements Policy.
func (Predicted) Pick(rng *rand.Rand, re Request, cands []*Candidate) int {
	return least(rng, cands, func(ca *Candidate) float64 { return Predict(re, ca).Seconds() })
}

const (
	// otherDomainCost is added for the way to another domain and back.
	otherDomainCost = 3 * time.Millisecond
	// sharedCost is added for each request already running, which slows
	// down the batch.
	sharedCost = time.Millisecond
	// coldCost is added while the endpoint is cold.
	coldCost = 50 * time.Millisecond
	// fallbackRate is the prefill rate assumed before one was reported.
	fallbackRate = 50_000
)

// Predict estimates the time to the first token of re at ca.
func Predict(re Request, ca *Candidate) time.Duration {
	rate := ca.Load.Rate
	if rate <= 0 {
		rate = fallbackRate
	}
	tokens := ca.Load.Prefill + ca.Added + re.Prompt
	if re.Length < ml.Long {
		tokens = ca.Load.Sooner + ca.Added + re.Prompt
	}
	out := time.Duration(float64(tokens) / rate * float64(time.Second))
	requests := ca.Load.Requests + ca.Load.Waiting + ca.AddedReq
	out += time.Duration(requests) * sharedCost
	if over := requests + 1 - ca.Load.Window; over > 0 {
		turn := float64(ca.Load.Service) / float64(max(ca.Load.Window, 1))
		out += time.Duration(float64(over) * turn * float64(time.Millisecond))
	}
	if free := ca.Endpoint.Memory - ca.Load.Memory; re.Memory > free && ca.Endpoint.Kind == ml.KindEngine {
		out += time.Duration(ca.Load.Service) * time.Millisecond
	}
	if ca.Load.Cold {
		out += coldCost
	}
	if ca.Endpoint.Domain != re.Home {
		out += otherDomainCost
	}
	return out
}

func least(rng *rand.Rand, cands []*Candidate, cost func(*Candidate) float64) int {
	best, low, ties := 0, math.Inf(1), 0
	for i, ca := range cands {
		co := cost(ca)
		switch {
		case co < low:
			best, low, ties = i, co, 1
		case co == low:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
