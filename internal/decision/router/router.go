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
	AddedReq int       // requests that this VM has offered since Heard

	// Added holds the prompt tokens that this VM has offered since Heard and
	// that go before a new prompt of each length.
	Added [ml.NumLengths]ml.Tokens

	order   uint64 // place among the endpoints of its group
	grouped bool   // it is among them
}

// Request is what routing needs to know of a request.
type Request struct {
	Model      ml.ModelID
	Service    ml.ServiceName
	Length     ml.Length
	Prompt     ml.Tokens
	Memory     ml.Tokens
	PrefixHash uint64 // hash of the prompt's first block; zero for none
	Home       ml.DomainID

	cacheAt  ml.EndpointID // where prompts with this prefix gather
	cached   ml.Tokens     // expected in the prefix cache there
	longFrom uint64        // place of the first endpoint of the set for long prompts; zero for no set
	self     ml.VMID
}

// away tells whether ca is outside the set for the request's length. Short
// prompts have none.
func (re Request) away(ca *Candidate) bool {
	if re.longFrom == 0 || re.Length == ml.Short {
		return false
	}
	return (re.Length >= ml.Long) != (ca.order >= re.longFrom)
}

// work returns the prompt tokens that ca would have to process.
func (re Request) work(ca *Candidate) ml.Tokens {
	if ca.Endpoint.ID != re.cacheAt {
		return re.Prompt
	}
	return max(re.Prompt-re.cached, 0)
}

// Policy picks one of a few candidates.
type Policy interface {
	Pick(now time.Time, rng *rand.Rand, re Request, cands []*Candidate) int
	// MostWait returns the longest wait at ca for which no other endpoint
	// is asked first, or zero for any.
	MostWait(now time.Time, re Request, ca *Candidate) time.Duration
	// Sampling tells which endpoints become its candidates.
	Sampling() Sampling
}

// Sampling is a way to find a few candidates.
type Sampling int

// The ways to find candidates.
const (
	Any    Sampling = iota // at random
	InTurn                 // the next one
	Likely                 // those with an advantage, and others at random
)

// blind policies know nothing of the time that a request will take and accept
// any wait.
type blind struct{}

// MostWait implements Policy.
func (blind) MostWait(time.Time, Request, *Candidate) time.Duration { return 0 }

// Sampling implements Policy.
func (blind) Sampling() Sampling { return Any }

// PolicyNames lists the names that ByName takes.
var PolicyNames = []string{"predicted", "leastInFlight", "roundRobin", "random"}

// PolicyByName returns the policy of a name; an unknown name is the predicted one.
func PolicyByName(name string) Policy {
	switch name {
	case "random":
		return Random{}
	case "roundRobin":
		return RoundRobin{}
	case "leastInFlight":
		return LeastInFlight{}
	default:
		return Predicted{}
	}
}

// Random picks any candidate.
type Random struct{ blind }

// Pick implements Policy.
func (Random) Pick(_ time.Time, rng *rand.Rand, _ Request, cands []*Candidate) int {
	return rng.IntN(len(cands))
}

// RoundRobin picks the endpoints in turn.
type RoundRobin struct{ blind }

// Pick implements Policy.
func (RoundRobin) Pick(time.Time, *rand.Rand, Request, []*Candidate) int { return 0 }

// Sampling implements Policy.
func (RoundRobin) Sampling() Sampling { return InTurn }

// LeastInFlight picks the candidate with the fewest requests of this VM.
type LeastInFlight struct{ blind }

// Pick implements Policy.
func (LeastInFlight) Pick(_ time.Time, rng *rand.Rand, _ Request, cands []*Candidate) int {
	return least(rng, cands, func(ca *Candidate) float64 { return float64(ca.InFlight) })
}

// Predicted picks the candidate with the least predicted time to the first
// token.
type Predicted struct{}

// Pick implements Policy.
func (Predicted) Pick(now time.Time, rng *rand.Rand, re Request, cands []*Candidate) int {
	return least(rng, cands, func(ca *Candidate) float64 { return PredictTTFT(now, re, ca).Seconds() })
}

// MostWait implements Policy. An owner that knows of a longer wait than is
// predicted here refuses, so that another endpoint is tried.
func (Predicted) MostWait(now time.Time, re Request, ca *Candidate) time.Duration {
	return Wait(now, re, ca) + waitSlack
}

// Sampling implements Policy.
func (Predicted) Sampling() Sampling { return Likely }

const (
	// otherOwnerCost is added for asking another VM and waiting for its
	// answer.
	otherOwnerCost = 500 * time.Microsecond
	// otherDomainCost is added for the way to another domain and back.
	otherDomainCost = 3 * time.Millisecond
	// sharedCost is added for each request already running, which slows
	// down the batch.
	sharedCost = time.Millisecond
	// coldCost is added while the endpoint is cold.
	coldCost = 50 * time.Millisecond
	// prefillCost is added while any prompt is being processed, since a new
	// one waits for the end of the step that is under way.
	prefillCost = 5 * time.Millisecond
	// awayPart is the part of its own processing time by which a prompt must
	// start sooner to leave the set for its length.
	awayPart = 4
	// waitSlack is the part of a wait that is not worth asking elsewhere.
	waitSlack = 5 * time.Millisecond
	// fallbackRate is the prefill rate assumed before one was reported.
	fallbackRate = 50_000
)

// PredictTTFT estimates the time to the first token of re at ca.
func PredictTTFT(now time.Time, re Request, ca *Candidate) time.Duration {
	own := duration(float64(re.work(ca)) / rate(ca))
	out := Wait(now, re, ca) + own
	if re.away(ca) {
		out += own / awayPart
	}
	out += time.Duration(ca.Load.Requests+ca.Load.Waiting+ca.AddedReq) * sharedCost
	if ahead(now, ml.Huge, ca) > 0 {
		out += prefillCost
	}
	if free := ca.Endpoint.Memory - ca.Load.Memory; re.Memory > free && ca.Endpoint.Kind == ml.KindEngine {
		out += time.Duration(ca.Load.MeanServiceMs) * time.Millisecond
	}
	if ca.Load.Cold {
		out += coldCost
	}
	if ca.Endpoint.Domain != re.Home {
		out += otherDomainCost
	}
	if ca.Owner != re.self {
		out += otherOwnerCost
	}
	return out
}

// Wait estimates how long re waits at ca for the prompts before it, and for
// its turn when the endpoint carries all that it can.
func Wait(now time.Time, re Request, ca *Candidate) time.Duration {
	out := duration(float64(ahead(now, re.Length, ca)) / rate(ca))
	requests := ca.Load.Requests + ca.Load.Waiting + ca.AddedReq
	if over := requests + 1 - ca.Load.Window; over > 0 {
		turn := float64(ca.Load.MeanServiceMs) / float64(max(ca.Load.Window, 1))
		out += time.Duration(float64(over) * turn * float64(time.Millisecond))
	}
	return out
}

// ahead returns the prompt tokens that go before a new prompt of a length:
// those heard of and offered since, less what was processed meanwhile.
func ahead(now time.Time, le ml.Length, ca *Candidate) ml.Tokens {
	processed := ml.Tokens(rate(ca) * now.Sub(ca.Heard).Seconds())
	return max(ca.Load.PrefillAhead[le]+ca.Added[le]-processed, 0)
}

func rate(ca *Candidate) float64 {
	if ca.Load.PrefillRate <= 0 {
		return fallbackRate
	}
	return ca.Load.PrefillRate
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

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
