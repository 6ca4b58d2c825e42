// Package router decides which endpoint a request is offered to. It keeps the
// last received load of each endpoint and compares a few candidates for each
// request, so the cost does not grow with the number of endpoints.
package router

import (
	"math"
	"math/rand/v2"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// Candidate is an endpoint that a request may be offered to.
type Candidate struct {
	Endpoint        ml.Endpoint
	Owner           ml.VMID
	Load            ml.EndpointLoad
	LoadReceivedAt  time.Time
	InFlight        int // requests of this VM at the endpoint
	OfferedRequests int // requests that this VM has offered since the load was received

	// OfferedTokens holds the prompt tokens that this VM has offered since
	// the load was received and that are processed before a new prompt of
	// each length.
	OfferedTokens [ml.NumLengths]ml.Tokens

	idHash  uint64 // hash of the endpoint's id, by which its group is sorted
	inGroup bool   // it is in its group, since its load is fresh
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	Model      ml.ModelID
	Service    ml.ServiceName
	Length     ml.Length
	Prompt     ml.Tokens
	Memory     ml.Tokens
	PrefixHash uint64 // hash of the prompt's first block; zero for none
	HomeDomain ml.DomainID

	cacheEndpoint ml.EndpointID // preferred endpoint for this prefix; empty for a new prefix
	cachedTokens  ml.Tokens     // expected in the prefix cache there
	longSetStart  uint64        // id hash of the first endpoint for long prompts; zero when none is set apart
	self          ml.VMID
}

// outsideSet reports whether ca is outside the set for the request's length.
// Short prompts may go to all endpoints.
func (re Request) outsideSet(ca *Candidate) bool {
	if re.longSetStart == 0 || re.Length == ml.Short {
		return false
	}
	return (re.Length >= ml.Long) != (ca.idHash >= re.longSetStart)
}

// uncachedTokens returns the prompt tokens that ca would process: those not
// expected in its prefix cache.
func (re Request) uncachedTokens(ca *Candidate) ml.Tokens {
	if ca.Endpoint.ID != re.cacheEndpoint {
		return re.Prompt
	}
	return max(re.Prompt-re.cachedTokens, 0)
}

// Policy picks one of a few candidates.
type Policy interface {
	Pick(now time.Time, rng *rand.Rand, re Request, cands []*Candidate) int
	// MaxWait returns the longest wait to accept at ca before another
	// endpoint is asked, or zero for any.
	MaxWait(now time.Time, re Request, ca *Candidate) time.Duration
	// Sampling returns how the candidates to pick from are found.
	Sampling() Sampling
}

// Sampling is a way to find a few candidates.
type Sampling int

// The ways to find candidates.
const (
	RandomSampling     Sampling = iota // at random
	RoundRobinSampling                 // the next endpoint in turn
	PreferredSampling                  // the cache endpoint and an endpoint of this VM, then at random
)

// basePolicy is embedded by policies that do not predict the wait. They accept
// any wait and, by default, sample at random.
type basePolicy struct{}

// MaxWait implements Policy.
func (basePolicy) MaxWait(time.Time, Request, *Candidate) time.Duration { return 0 }

// Sampling implements Policy.
func (basePolicy) Sampling() Sampling { return RandomSampling }

// PolicyNames lists the names that PolicyByName accepts.
var PolicyNames = []string{"predicted", "leastInFlight", "roundRobin", "random"}

// PolicyByName returns the policy of a name, or Predicted for an unknown name.
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

// Random picks a random candidate.
type Random struct{ basePolicy }

// Pick implements Policy.
func (Random) Pick(_ time.Time, rng *rand.Rand, _ Request, cands []*Candidate) int {
	return rng.IntN(len(cands))
}

// RoundRobin picks the endpoints in turn.
type RoundRobin struct{ basePolicy }

// Pick implements Policy.
func (RoundRobin) Pick(time.Time, *rand.Rand, Request, []*Candidate) int { return 0 }

// Sampling implements Policy.
func (RoundRobin) Sampling() Sampling { return RoundRobinSampling }

// LeastInFlight picks the candidate with the fewest requests of this VM in
// flight.
type LeastInFlight struct{ basePolicy }

// Pick implements Policy.
func (LeastInFlight) Pick(_ time.Time, rng *rand.Rand, _ Request, cands []*Candidate) int {
	return leastCost(rng, cands, func(ca *Candidate) float64 { return float64(ca.InFlight) })
}

// Predicted picks the candidate with the shortest predicted time to the first
// token.
type Predicted struct{}

// Pick implements Policy.
func (Predicted) Pick(now time.Time, rng *rand.Rand, re Request, cands []*Candidate) int {
	return leastCost(rng, cands, func(ca *Candidate) float64 { return PredictTTFT(now, re, ca).Seconds() })
}

// MaxWait implements Policy. An owner that predicts a longer wait refuses, so
// that another endpoint is tried.
func (Predicted) MaxWait(now time.Time, re Request, ca *Candidate) time.Duration {
	return PredictWait(now, re, ca) + waitTolerance
}

// Sampling implements Policy.
func (Predicted) Sampling() Sampling { return PreferredSampling }

const (
	// remoteOwnerCost is the round trip to an owner on another VM.
	remoteOwnerCost = 500 * time.Microsecond
	// crossDomainCost is the round trip to another failure domain.
	crossDomainCost = 3 * time.Millisecond
	// perRequestCost is added for each request at the endpoint, since a
	// larger batch is slower.
	perRequestCost = time.Millisecond
	// coldCost is added while the endpoint is cold.
	coldCost = 50 * time.Millisecond
	// runningPrefillCost is added while any prompt is being processed, since
	// a new one waits for the end of the current step.
	runningPrefillCost = 5 * time.Millisecond
	// outsideSetDivisor divides a prompt's own processing time. An endpoint
	// outside the set for the prompt's length must start the prompt sooner
	// by the result to be picked.
	outsideSetDivisor = 4
	// waitTolerance is added to the predicted wait, since asking another
	// endpoint does not pay off for a smaller difference.
	waitTolerance = 5 * time.Millisecond
	// defaultPrefillTokensPerSecond is used until a rate is reported.
	defaultPrefillTokensPerSecond = 50_000
)

// PredictTTFT estimates the time to the first token of re at ca.
func PredictTTFT(now time.Time, re Request, ca *Candidate) time.Duration {
	processing := duration(float64(re.uncachedTokens(ca)) / prefillRate(ca))
	out := PredictWait(now, re, ca) + processing
	if re.outsideSet(ca) {
		out += processing / outsideSetDivisor
	}
	out += time.Duration(ca.Load.Requests+ca.Load.Waiting+ca.OfferedRequests) * perRequestCost
	if tokensAhead(now, ml.Huge, ca) > 0 {
		out += runningPrefillCost
	}
	if free := ca.Endpoint.Memory - ca.Load.Memory; re.Memory > free && ca.Endpoint.Kind == ml.KindEngine {
		out += time.Duration(ca.Load.MeanServiceMs) * time.Millisecond
	}
	if ca.Load.Cold {
		out += coldCost
	}
	if ca.Endpoint.Domain != re.HomeDomain {
		out += crossDomainCost
	}
	if ca.Owner != re.self {
		out += remoteOwnerCost
	}
	return out
}

// PredictWait estimates how long re waits at ca for the prompts ahead of it, and
// for a free slot when all are in use.
func PredictWait(now time.Time, re Request, ca *Candidate) time.Duration {
	out := duration(float64(tokensAhead(now, re.Length, ca)) / prefillRate(ca))
	requests := ca.Load.Requests + ca.Load.Waiting + ca.OfferedRequests
	if excess := requests + 1 - ca.Load.Window; excess > 0 {
		slotTime := float64(ca.Load.MeanServiceMs) / float64(max(ca.Load.Window, 1))
		out += time.Duration(float64(excess) * slotTime * float64(time.Millisecond))
	}
	return out
}

// tokensAhead returns the prompt tokens that are processed before a new prompt
// of a length. These are the tokens of the last load and those offered since,
// less what the endpoint has processed since.
func tokensAhead(now time.Time, le ml.Length, ca *Candidate) ml.Tokens {
	processed := ml.Tokens(prefillRate(ca) * now.Sub(ca.LoadReceivedAt).Seconds())
	return max(ca.Load.PrefillAhead[le]+ca.OfferedTokens[le]-processed, 0)
}

func prefillRate(ca *Candidate) float64 {
	if ca.Load.PrefillRate <= 0 {
		return defaultPrefillTokensPerSecond
	}
	return ca.Load.PrefillRate
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// leastCost returns the index of a candidate with the lowest cost. It chooses at
// random among equal ones.
func leastCost(rng *rand.Rand, cands []*Candidate, cost func(*Candidate) float64) int {
	best, lowest, ties := 0, math.Inf(1), 0
	for i, ca := range cands {
		co := cost(ca)
		switch {
		case co < lowest:
			best, lowest, ties = i, co, 1
		case co == lowest:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
