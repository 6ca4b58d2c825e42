// Package granter decides when an endpoint may be given a request. Each
// endpoint has one granter, at its owner. It queues requests and counts the
// requests, memory and prompt tokens granted to the endpoint.
package granter

import (
	"fmt"
	"math"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/limiter"
)

const (
	// maxQueuedRequests bounds the requests that wait for one endpoint.
	maxQueuedRequests = 256
	// maxPrefillBacklog bounds the granted but unprocessed prompts of one
	// length, in processing time. Further requests stay in the queue, where
	// teams get fair shares.
	maxPrefillBacklog = 250 * time.Millisecond
	// keepaliveTimeout is the time without a keepalive from its holder after
	// which a grant is cancelled.
	keepaliveTimeout = 5 * time.Second
	// defaultPrefillTokensPerSecond is used until the engine has reported
	// its rate.
	defaultPrefillTokensPerSecond = 50_000
	// minRateSampleTokens is the smallest prefill backlog whose processing
	// time is used to measure the rate.
	minRateSampleTokens = 1000
	// defaultServiceTime is used until a request has completed.
	defaultServiceTime = 500 * time.Millisecond
)

// Request asks for a grant at the endpoint.
type Request struct {
	ID           ml.GrantID
	Holder       ml.VMID // the entry VM that will use the grant
	Team         ml.TeamID
	Weight       float64 // the team's share
	Length       ml.Length
	Prompt       ml.Tokens
	Cached       ml.Tokens     // part of the prompt expected in the prefix cache
	Memory       ml.Tokens     // engine memory needed
	Member       bool          // reserves memory only, as a member of a group of engines
	Deadline     time.Time     // when the answer must be complete
	MinDuration  time.Duration // the answer takes at least this long
	MaxWait      time.Duration // longest predicted wait accepted; zero for any
	arrivedAt    time.Time
	virtualStart float64 // virtual start time in fair queuing
}

// RefusalError is the error for a request that can't be granted in time.
type RefusalError struct {
	Endpoint   ml.EndpointID
	Reason     string
	Busy       bool // only MaxWait is exceeded; RetryAfter is the predicted wait
	RetryAfter time.Duration
}

// Error implements the error interface.
func (re *RefusalError) Error() string { return fmt.Sprintf("endpoint %q: %s", re.Endpoint, re.Reason) }

// Granter queues and grants the requests of one endpoint. It is not safe for
// concurrent use.
type Granter struct {
	Endpoint        ml.Endpoint
	Timing          ml.Timing
	LongPromptShare float64 // share of memory that long prompts may use
	Limiter         limiter.Limiter

	holds map[ml.GrantID]*hold
	queue queue

	evicted         []Request     // removed from a full queue, not yet returned by TakeRejected
	prefillRate     float64       // prefill tokens a second, as measured
	meanServiceTime time.Duration // moving average of the time from grant to release

	reportedPrefillRate float64 // prefill tokens a second without a batch, as the engine reports
}

// New returns the granter of an endpoint.
func New(ep ml.Endpoint, ti ml.Timing, longPromptShare float64) *Granter {
	return &Granter{
		Endpoint: ep, Timing: ti, LongPromptShare: longPromptShare, Limiter: limiter.Limiter{Endpoint: ep},
		holds: make(map[ml.GrantID]*hold), prefillRate: defaultPrefillTokensPerSecond, reportedPrefillRate: defaultPrefillTokensPerSecond, meanServiceTime: defaultServiceTime,
	}
}

// Enqueue adds a request to the queue. It returns *RefusalError when the
// request would not be served in time, or not within its MaxWait.
func (gr *Granter) Enqueue(now time.Time, rq Request) error {
	if rq.Memory > gr.Endpoint.Memory && gr.Endpoint.Kind == ml.KindEngine {
		return gr.refuse(0, "%d tokens do not fit in %d", rq.Memory, gr.Endpoint.Memory)
	}
	rq.arrivedAt = now
	wait := gr.EstimateWait(now, rq)
	if now.Add(wait + rq.MinDuration).After(rq.Deadline) {
		return gr.refuse(wait, "the answer would come after its deadline, the wait is %v", wait.Round(time.Millisecond))
	}
	if rq.MaxWait > 0 && wait > rq.MaxWait {
		return &RefusalError{Endpoint: gr.Endpoint.ID, Reason: "the wait is longer than expected", Busy: true, RetryAfter: wait}
	}
	if gr.queue.len() >= maxQueuedRequests {
		last, found := gr.queue.evictLast(now, rq)
		if !found {
			return gr.refuse(wait, "%d requests are waiting", maxQueuedRequests)
		}
		gr.evicted = append(gr.evicted, last)
	}
	gr.queue.push(rq)
	return nil
}

// EstimateWait estimates the time until a new request is granted and the engine
// has processed the prompts ahead of it.
func (gr *Granter) EstimateWait(now time.Time, rq Request) time.Duration {
	rq.arrivedAt = now
	ahead, tokens := gr.queue.aheadOf(now, rq)
	prefill := time.Duration(float64(tokens+gr.grantedTokensAhead(rq.Length)) / gr.prefillRate * float64(time.Second))
	freeSlots := gr.Limiter.Window(now) - len(gr.holds)
	if ahead < freeSlots {
		return prefill
	}
	return prefill + gr.slotWait(now, ahead-freeSlots+1)
}

// slotWait estimates the time until a number of slots have become free. Each answer frees one, and
// while the window grows it adds another, so that their number doubles in each service time.
func (gr *Granter) slotWait(now time.Time, slots int) time.Duration {
	const slotsPerAnswer = 2 // while the window grows
	window := float64(max(gr.Limiter.Window(now), 1))
	growth := min(float64(slots)/slotsPerAnswer, float64(gr.Limiter.Growth(now)))
	rest := float64(slots) - slotsPerAnswer*growth
	turns := math.Log2(1+growth/window) + rest/(window+growth)
	return time.Duration(turns * float64(gr.meanServiceTime))
}

// GrantNext grants the next request that the endpoint can take. The second
// result is false when there is none.
func (gr *Granter) GrantNext(now time.Time) (Request, bool) {
	rq, found := gr.queue.next(now, func(rq Request) admission { return gr.checkAdmission(now, rq) })
	if !found {
		return Request{}, false
	}
	gr.holds[rq.ID] = &hold{request: rq, grantedAt: now, lastKeepalive: now, pendingPrefill: max(rq.Prompt-rq.Cached, 0), confirmed: rq.Member}
	return rq, true
}

// TakeRejected removes and returns the requests that can no longer be served in
// time, and those evicted from a full queue.
func (gr *Granter) TakeRejected(now time.Time) []Request {
	out := append(gr.evicted, gr.queue.removeExpired(now)...)
	gr.evicted = nil
	return out
}

// Withdraw removes a request from the queue, or ends its unconfirmed grant.
func (gr *Granter) Withdraw(id ml.GrantID) {
	gr.queue.remove(id)
	if ho := gr.holds[id]; ho != nil && !ho.confirmed {
		delete(gr.holds, id)
	}
}

// Load returns the endpoint's load at now.
func (gr *Granter) Load(now time.Time) ml.EndpointLoad {
	lo := ml.EndpointLoad{
		Requests: len(gr.holds), Waiting: gr.queue.len(), Window: gr.Limiter.Window(now),
		PrefillRate: gr.prefillRate, MeanServiceMs: gr.meanServiceTime.Milliseconds(), Cold: gr.Limiter.Cold(now), LongPrompts: gr.queue.countLong(),
	}
	for le := range lo.PrefillAhead {
		lo.PrefillAhead[le] = gr.tokensAhead(ml.Length(le))
	}
	for _, ho := range gr.holds {
		lo.Memory += ho.request.Memory
		if ho.request.Length >= ml.Long {
			lo.LongPrompts++
		}
	}
	return lo
}

// Idle reports whether nothing is queued or granted.
func (gr *Granter) Idle() bool { return len(gr.holds) == 0 && gr.queue.len() == 0 }

// checkAdmission returns whether a request can be granted now, or what blocks
// it.
func (gr *Granter) checkAdmission(now time.Time, rq Request) admission {
	requests, unconfirmed := 0, 0
	memory, longMemory, prefill, sameLengthPrefill, longPending := rq.Memory, ml.Tokens(0), max(rq.Prompt-rq.Cached, 0), ml.Tokens(0), false
	for _, ho := range gr.holds {
		memory += ho.request.Memory
		if ho.request.Member {
			continue
		}
		requests++
		prefill += ho.pendingPrefill
		if !ho.confirmed {
			unconfirmed++
		}
		if ho.request.Length == rq.Length {
			sameLengthPrefill += ho.pendingPrefill
		}
		if ho.request.Length >= ml.Long {
			longMemory += ho.request.Memory
			longPending = longPending || ho.pendingPrefill > 0
		}
	}
	isEngine := gr.Endpoint.Kind == ml.KindEngine
	switch {
	case rq.Member:
		return admitIf(memory <= gr.Endpoint.Memory)
	case requests >= gr.Limiter.Window(now) || unconfirmed >= gr.Limiter.MaxUnconfirmed():
		return blockedByCapacity
	case !isEngine:
		return admitted
	case gr.Limiter.Cold(now) && prefill > gr.Endpoint.ColdTokens:
		return blockedByCapacity
	case rq.Length < ml.Long && float64(sameLengthPrefill) > gr.prefillRate*maxPrefillBacklog.Seconds():
		return blockedByLength
	case rq.Length >= ml.Long && (longPending || (longMemory > 0 && float64(longMemory+rq.Memory) > gr.LongPromptShare*float64(gr.Endpoint.Memory))):
		return blockedByLength
	default:
		return admitIf(memory <= gr.Endpoint.Memory)
	}
}

func admitIf(enough bool) admission {
	if enough {
		return admitted
	}
	return blockedByCapacity
}

// tokensAhead returns the prompt tokens, granted and queued, that are processed
// before a new prompt of the given length.
func (gr *Granter) tokensAhead(le ml.Length) ml.Tokens {
	_, waiting := gr.queue.aheadOfLength(le)
	return waiting + gr.grantedTokensAhead(le)
}

func (gr *Granter) incarnation() ml.Incarnation { return gr.Limiter.Incarnation() }

func (gr *Granter) refuse(retryAfter time.Duration, format string, args ...any) error {
	return &RefusalError{Endpoint: gr.Endpoint.ID, Reason: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}
