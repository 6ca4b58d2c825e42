// Package placer decides which engine takes a prompt, whether a group of engines
// prefills it together, whether it waits, or whether it is refused. It chooses the
// option with the least predicted loss for this caller and for the callers whose
// requests are already at the engines.
package placer

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
)

// Losses have the unit of Request.Value. A constant whose name ends in LossShare
// is a share of the value of the request that it applies to.
const (
	// lateLossShare is the loss of an answer that misses its objective. The rest
	// of the value is lost when the caller stops waiting.
	lateLossShare = 0.75
	// failureLossShare is the loss of a failed attempt. It is less than the whole
	// value, since another attempt may still succeed.
	failureLossShare = 0.8
	// usableMemoryShare is the share of an engine's memory available to placement.
	usableMemoryShare = 0.94
	// prefillOverlapShare is the share of a prompt's prefill time by which it
	// delays the prompts that are already pending at the engine.
	prefillOverlapShare = 0.4
	// occupancyCost is the loss for making an engine unavailable, for the duration
	// of the answer, to prompts that need an engine without answers of this kind.
	occupancyCost = 0.7
	// unseenHalvingCount is the number of unseen requests that halves
	// occupancyCost: with the full cost, all entry VMs would send their requests
	// to the same engine at once and overload it.
	unseenHalvingCount = 2
	// extraEngineCost is the loss for each additional engine of a group.
	extraEngineCost = 0.04
	// maxWaitLossShare is the loss for waiting until the objective.
	// minWaitGainShare is the minimum reduction of the loss, as a share of the
	// value, for which a request waits.
	maxWaitLossShare, minWaitGainShare = 0.4, 0.02
	// tieLossShare and tieTimeMargin bound by how much an engine may be worse than
	// the best one and still tie with it. Each unseen request adds the same
	// margins again, up to maxTieUnseen requests.
	tieLossShare  = 0.01
	tieTimeMargin = 25 * time.Millisecond
	maxTieUnseen  = 10
	// crossDomainCost is the loss for the traffic to another failure domain.
	crossDomainCost = 0.002
	// busyEngineSecondCost is the loss for a second of engine time when all
	// engines are busy. It prevents prompts that would be late anyway from taking
	// engines away from those that can still be in time.
	busyEngineSecondCost = 0.5
	// spareSlots is the number of slots kept free at an engine, since another
	// entry VM may be sending it a request at the same moment.
	spareSlots = 1
	// refusalLossShare is the predicted loss from which a prompt is refused.
	refusalLossShare = 0.9
	// safeGapRatio and missedGapRatio are ratios of a pause between events to its
	// objective. Up to the first the objective is certainly met, from the second
	// on it is certainly missed.
	safeGapRatio, missedGapRatio = 0.8, 1.15
	// missAtPredicted is the probability that the first event comes later than
	// predicted. missDecayPower is the power by which the probability falls with
	// the ratio of the time left to the predicted time.
	missAtPredicted, missDecayPower = 0.75, 2.6
	// startSlackShare is the safety margin of LatestStart, as a share of the
	// predicted time.
	startSlackShare = 0.15
)

// Request is a prompt to be placed.
type Request struct {
	Profile            *ml.EngineProfile
	Prompt             ml.Tokens
	Answer             ml.Tokens     // expected length
	FirstEventTarget   time.Time     // objective for the first event
	FirstEventDeadline time.Time     // the caller stops waiting for the first event
	GapTarget          time.Duration // objective for the pause between two events
	Value              float64       // see RequestValue
	Weight             float64       // as of a flight
	Domain             ml.DomainID   // of the entry VM that received the request
	// UnseenRequests is the estimated number of prompts that other entry VMs have
	// placed and that this entry VM has not been informed of yet.
	UnseenRequests float64
	// SpareEngines is the share of the cost of an engine without such answers that is saved, since
	// more are left than long prompts need.
	SpareEngines float64
	// IsExact means that the candidates' flights are all that there are, and that nobody else
	// sends them more at the same moment.
	IsExact bool
}

// LatestStart returns the latest time at which an engine that is busy with other
// answers can start the prefill and still meet the objective for the first event.
// It assumes that a long prompt is prefilled by a group.
func (rq *Request) LatestStart() time.Time {
	const maxParts, prefillPerPart = 4, time.Second
	pr := rq.Profile
	parts := min(1+int(forecaster.PrefillTime(pr, rq.Prompt, 1)/prefillPerPart), maxParts)
	context := min(ml.Tokens(pr.Slots)*(rq.Prompt+rq.Answer), pr.Memory)
	pass := forecaster.PassTime(pr, pr.Slots, context)
	duration := forecaster.PrefillTime(pr, rq.Prompt, parts) + pass + pass/2
	return rq.FirstEventTarget.Add(-time.Duration((1 + startSlackShare) * float64(duration)))
}

// Candidate is an engine that may take the prompt.
type Candidate struct {
	Endpoint    ml.ListedEndpoint
	Flights     []ml.Flight
	FailureRate float64 // expected share of failing requests
	Blocked     bool    // must not get requests now, for example because of its rate limit while cold
	TieBreak    uint64  // the highest wins among engines that tie; differs between entry VMs
	// State is the state of the engine that is predicted from Flights. If it is nil, Choose
	// predicts it; a caller that decides on several requests does so once.
	State *forecaster.EngineState
}

// Choice is the result of a decision.
type Choice struct {
	Lead         int       // index of the candidate that generates the answer; -1 for none
	Helpers      []int     // indexes of the candidates that prefill parts
	HelperMemory ml.Tokens // to reserve at each helper; 0 when the lead holds the whole prompt
	FirstEventAt time.Time // predicted
	Loss         float64   // predicted, of this caller and others
	Wait         bool      // a later start has less loss than an immediate one
	Refused      bool      // can't be served in time
	RetryAfter   time.Duration
	Available    int // number of candidates that could take a request
}

// state is a candidate with its predicted engine state.
type state struct {
	Candidate
	index   int
	engine  *forecaster.EngineState
	hasSlot bool
}

// Choose decides at now where a prompt goes.
func Choose(now time.Time, rq *Request, candidates []Candidate) Choice {
	ch := chooser{now: now, rq: rq, memory: rq.Prompt + rq.Answer}
	ch.predict(candidates)
	best := Choice{Lead: -1, Loss: rq.Value, Available: ch.available()}
	bestLater := best
	for parts := 1; parts <= ch.maxParts(); parts = nextParts(parts) {
		ch.evaluate(parts, &best, &bestLater)
	}
	return ch.decide(best, bestLater)
}

// nextParts returns the next larger group size to evaluate.
func nextParts(parts int) int {
	if parts < 4 {
		return parts + 1
	}
	return parts + parts/2
}

// chooser holds the state of one decision.
type chooser struct {
	now              time.Time
	rq               *Request
	memory           ml.Tokens
	states           []state
	engineSecondCost float64
}

func (ch *chooser) predict(candidates []Candidate) {
	spare := spareSlots
	if ch.rq.IsExact {
		spare = 0
	}
	for i := range candidates {
		st := state{Candidate: candidates[i], index: i, engine: candidates[i].State}
		if st.engine == nil {
			es := forecaster.Predict(ch.now, st.Flights)
			st.engine = &es
		}
		st.hasSlot = !st.Blocked && st.engine.UsedSlots() < max(ch.rq.Profile.Slots-spare, 1)
		ch.states = append(ch.states, st)
	}
	ch.engineSecondCost = busyEngineSecondCost * ch.busyShare() * ch.busyShare()
}

// busyShare returns the share of engines with a pending prefill or with more
// than half of their slots in use.
func (ch *chooser) busyShare() float64 {
	n := 0
	for i := range ch.states {
		es := ch.states[i].engine
		if es.PrefillDoneAt.After(ch.now) || 2*es.UsedSlots() > ch.rq.Profile.Slots {
			n++
		}
	}
	return float64(n) / float64(max(len(ch.states), 1))
}

func (ch *chooser) available() int {
	n := 0
	for i := range ch.states {
		if ch.states[i].hasSlot {
			n++
		}
	}
	return n
}

// maxParts returns the size of the largest group worth evaluating: parts much
// shorter than a pass save no time.
func (ch *chooser) maxParts() int {
	const maxGroup, minPartTime = 16, 60 * time.Millisecond
	whole := forecaster.PrefillTime(ch.rq.Profile, ch.rq.Prompt, 1)
	return min(maxGroup, len(ch.states), max(1, int(whole/minPartTime)))
}

// decide chooses between the best immediate start and the best later start.
func (ch *chooser) decide(best, bestLater Choice) Choice {
	value := ch.rq.Value
	if bestLater.Lead >= 0 && bestLater.Loss+minWaitGainShare*value < best.Loss {
		bestLater.Wait = true
		best = bestLater
	}
	if best.Lead < 0 || best.Loss >= refusalLossShare*value {
		best.Refused = true
		best.RetryAfter = ch.retryAfter(best)
	}
	return best
}
