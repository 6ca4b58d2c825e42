// Package placer decides which engine takes a prompt, or which engines read it
// together, or that it waits: by the least loss that is predicted for this
// caller and for those whose work the engines already have.
package placer

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
)

const (
	// lateLoss is the share of an answer's worth that is lost when it is late.
	lateLoss = 0.75
	// failLoss is the share of its worth that a failed attempt costs, since
	// another attempt may still serve it.
	failLoss = 0.8
	// memoryPart is the part of an engine's memory that is planned with.
	memoryPart = 0.94
	// joinDelay is the share of a prompt's reading by which it delays prompts
	// that the engine already reads.
	joinDelay = 0.4
	// freshCost is the loss that stands for taking an engine away from prompts
	// that need one without answers of this kind, for as long as the answer.
	freshCost = 0.7
	// unseenHalf is the number of unseen prompts that halves this cost: what is
	// gathered by all at once is too much for one engine.
	unseenHalf = 2
	// partCost is the loss that stands for each further engine of a group.
	partCost = 0.04
	// waitCost is the share of its worth that waiting costs when it takes all
	// of the time up to the objective, and waitLeast what it must save.
	waitCost, waitLeast = 0.4, 0.02
	// alikeLoss, a share of its worth, and alikeTime tell how much worse an
	// engine may be to count as like the best; by so much more for each prompt
	// that is not seen, up to alikeMost.
	alikeLoss = 0.01
	alikeTime = 25 * time.Millisecond
	alikeMost = 10
	// farCost stands for the bytes to another failure domain.
	farCost = 0.002
	// busyCost is the loss that an engine-second stands for when all engines
	// are busy. It keeps prompts that would be late anyway from taking the
	// engines from those that would not.
	busyCost = 0.5
	// sparePlaces is the number of places kept free at an engine, since another
	// entry VM may be taking one at the same moment.
	sparePlaces = 1
	// lostShare is the share of its worth from which a prompt counts as lost.
	lostShare = 0.9
	// likely and unlikely bound the ratio of a pause to its objective between
	// which keeping the objective turns from certain to out of reach.
	likely, unlikely = 0.8, 1.15
	// missEven is the likelihood that a first event is later than predicted, and
	// missFalls the power by which it falls with the ratio of the time that is
	// left to the predicted one.
	missEven, missFalls = 0.75, 2.6
	// slackShare is the part of the predicted time that is kept in hand when
	// requests are put in order.
	slackShare = 0.15
)

// Request is a prompt to be placed.
type Request struct {
	Profile            *ml.EngineProfile
	Prompt             ml.Tokens
	Answer             ml.Tokens     // expected
	FirstEventTarget   time.Time     // objective for the first event
	FirstEventDeadline time.Time     // the caller does not wait longer for it
	GapTarget          time.Duration // objective for the pause between events
	Value              float64
	Domain             ml.DomainID // where the caller entered
	// UnseenRequests is how many prompts other entry VMs are expected to have placed
	// without this one knowing yet.
	UnseenRequests float64
}

// LatestStart returns the latest moment at which reading may begin so that the
// first event is in time, at an engine that is busy with other answers. A prompt
// that takes long is reckoned to be read by a group.
func (rq *Request) LatestStart() time.Time {
	const most, each = 4, time.Second
	fi := rq.Profile
	parts := min(1+int(forecaster.PrefillTime(fi, rq.Prompt, 1)/each), most)
	context := min(ml.Tokens(fi.Slots)*(rq.Prompt+rq.Answer), fi.Memory)
	pass := forecaster.Pass(fi, fi.Slots, context)
	needs := forecaster.PrefillTime(fi, rq.Prompt, parts) + pass + pass/2
	return rq.FirstEventTarget.Add(-time.Duration((1 + slackShare) * float64(needs)))
}

// Candidate is an engine that may take the prompt.
type Candidate struct {
	Endpoint    ml.ListedEndpoint
	Flights     []ml.Flight
	FailureRate float64 // share of requests that it is expected to fail
	Blocked     bool    // must not get anything now, as by the limit while it is cold
	// TieBreak decides between engines that are alike; entry VMs differ in it.
	TieBreak uint64
}

// Choice is what was decided.
type Choice struct {
	Lead         int       // index of the candidate that answers; -1 for none
	Helpers      []int     // indexes of candidates that read parts
	HelperMemory ml.Tokens // memory needed at each helper; 0 when the lead holds all
	FirstEventAt time.Time
	Loss         float64 // predicted, of the caller and others
	Wait         bool    // better later than now
	Refused      bool    // can't be served in time
	RetryAfter   time.Duration
	Available    int // candidates that could take it
}

// state is a candidate with what is predicted of it.
type state struct {
	Candidate
	index  int
	engine forecaster.Engine
	fits   bool
}

// Choose decides where a prompt goes at now.
func Choose(now time.Time, rq *Request, candidates []Candidate) Choice {
	ch := chooser{now: now, rq: rq, memory: rq.Prompt + rq.Answer}
	ch.look(candidates)
	best := Choice{Lead: -1, Loss: rq.Value, Available: ch.open()}
	later := best
	for parts := 1; parts <= ch.mostParts(); parts = nextParts(parts) {
		ch.try(parts, &best, &later)
	}
	return ch.decide(best, later)
}

// nextParts returns the next larger group that is tried.
func nextParts(parts int) int {
	if parts < 4 {
		return parts + 1
	}
	return parts + parts/2
}

// chooser holds one decision.
type chooser struct {
	now    time.Time
	rq     *Request
	memory ml.Tokens
	states []state
	price  float64 // of an engine-second now
}

func (ch *chooser) look(candidates []Candidate) {
	for i, ca := range candidates {
		st := state{Candidate: ca, index: i, engine: forecaster.At(ch.now, ca.Flights)}
		st.fits = !ca.Blocked && st.engine.Running() < max(ch.rq.Profile.Slots-sparePlaces, 1)
		ch.states = append(ch.states, st)
	}
	ch.price = busyCost * ch.busy() * ch.busy()
}

// busy returns the share of engines that read, or whose places are mostly
// taken.
func (ch *chooser) busy() float64 {
	n := 0
	for i := range ch.states {
		en := &ch.states[i].engine
		if en.Free.After(ch.now) || 2*en.Running() > ch.rq.Profile.Slots {
			n++
		}
	}
	return float64(n) / float64(max(len(ch.states), 1))
}

func (ch *chooser) open() int {
	n := 0
	for i := range ch.states {
		if ch.states[i].fits {
			n++
		}
	}
	return n
}

// mostParts returns the largest group worth trying: parts much shorter than a
// pass save nothing.
func (ch *chooser) mostParts() int {
	const most, shortest = 16, 60 * time.Millisecond
	whole := forecaster.PrefillTime(ch.rq.Profile, ch.rq.Prompt, 1)
	return min(most, len(ch.states), max(1, int(whole/shortest)))
}

// decide compares the best placement now with the best one later.
func (ch *chooser) decide(best, later Choice) Choice {
	worth := ch.rq.Value
	if later.Lead >= 0 && later.Loss+waitLeast*worth < best.Loss {
		later.Wait = true
		best = later
	}
	if best.Lead < 0 || best.Loss >= lostShare*worth {
		best.Refused = true
		best.RetryAfter = ch.retry(best)
	}
	return best
}
