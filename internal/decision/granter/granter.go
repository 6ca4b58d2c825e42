// Package granter decides when an endpoint may be given a request. One
// granter, at the endpoint's owner, counts everything that the endpoint has
// been given.
package granter

import (
	"fmt"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/limiter"
)

const (
	// maxQueue bounds the requests that wait for one endpoint.
	maxQueue = 256
	// backlogTime bounds the prompts of one length that an engine has been
	// given and not processed, in processing time. Further ones wait in the
	// queue, where teams share.
	backlogTime = 250 * time.Millisecond
	// keepTerm is the time after which a grant that its holder no longer
	// answers for is cancelled.
	keepTerm = 5 * time.Second
	// assumedRate is the prefill rate, in tokens a second, of an engine
	// that has not reported its own.
	assumedRate = 50_000
	// minSample is the least number of prompt tokens whose processing time
	// is taken for a measurement of the rate.
	minSample = 1000
	// assumedService is the time a request takes before one was measured.
	assumedService = 500 * time.Millisecond
)

// Request is a request for a grant.
type Request struct {
	ID       ml.GrantID
	Holder   ml.VMID // the entry VM that will use the grant
	Team     ml.TeamID
	Weight   float64 // the team's share
	Length   ml.Length
	Prompt   ml.Tokens
	Cached   ml.Tokens // part of the prompt expected in the prefix cache
	Memory   ml.Tokens // engine memory needed
	Member   bool      // memory only, as a member of a group
	Deadline time.Time // when the answer must be complete
	Needs    time.Duration
	MostWait time.Duration // longest predicted wait worth taking here; zero for any
	arrived  time.Time
	start    float64 // virtual time of its team
}

// Refused is the error for an ask that can't be granted in time.
type Refused struct {
	Endpoint   ml.EndpointID
	Reason     string
	Busy       bool // only busier than the ask takes; RetryAfter is the predicted wait
	RetryAfter time.Duration
}

// Error implements the error interface.
func (re *Refused) Error() string { return fmt.Sprintf("endpoint %q: %s", re.Endpoint, re.Reason) }

// Granter counts what one endpoint has been given. It is not safe for
// concurrent use.
type Granter struct {
	Endpoint  ml.Endpoint
	Timing    ml.Timing
	LongShare float64 // share of memory open to long prompts
	Limiter   limiter.Limiter

	holds map[ml.GrantID]*hold
	queue queue

	displaced []Request     // had to leave a full queue, not yet told
	rate      float64       // prefill tokens a second, as measured
	service   time.Duration // average time from grant to release

	reportedRate float64 // prefill tokens a second without a batch, as the engine reports
}

// New returns the granter of an endpoint.
func New(ep ml.Endpoint, ti ml.Timing, longShare float64) *Granter {
	return &Granter{
		Endpoint: ep, Timing: ti, LongShare: longShare, Limiter: limiter.Limiter{Endpoint: ep},
		holds: make(map[ml.GrantID]*hold), rate: assumedRate, reportedRate: assumedRate, service: assumedService,
	}
}

// Enqueue takes an ask into the queue, or returns *Refused at once when it
// would not be served in time.
func (gr *Granter) Enqueue(now time.Time, as Request) error {
	if as.Memory > gr.Endpoint.Memory && gr.Endpoint.Kind == ml.KindEngine {
		return gr.refuse(0, "%d tokens do not fit in %d", as.Memory, gr.Endpoint.Memory)
	}
	as.arrived = now
	wait := gr.Wait(now, as)
	if now.Add(wait + as.Needs).After(as.Deadline) {
		return gr.refuse(wait, "the answer would come after its deadline, the wait is %v", wait.Round(time.Millisecond))
	}
	if as.MostWait > 0 && wait > as.MostWait {
		return &Refused{Endpoint: gr.Endpoint.ID, Reason: "the wait is longer than expected", Busy: true, RetryAfter: wait}
	}
	if gr.queue.len() >= maxQueue {
		last, found := gr.queue.displace(now, as)
		if !found {
			return gr.refuse(wait, "%d requests are waiting", maxQueue)
		}
		gr.displaced = append(gr.displaced, last)
	}
	gr.queue.push(as)
	return nil
}

// Wait estimates the time until as would be granted and the engine has worked
// through the prompts before it.
func (gr *Granter) Wait(now time.Time, as Request) time.Duration {
	as.arrived = now
	ahead, tokens := gr.queue.before(now, as)
	prefill := time.Duration(float64(tokens+gr.prefillBefore(as.Length)) / gr.rate * float64(time.Second))
	free := gr.Limiter.Window(now) - len(gr.holds)
	if ahead < free {
		return prefill
	}
	turns := float64(ahead-free+1) / float64(max(gr.Limiter.Window(now), 1))
	return prefill + time.Duration(turns*float64(gr.service))
}

// GrantNext grants the next ask that fits. The second result is false when none
// does.
func (gr *Granter) GrantNext(now time.Time) (Request, bool) {
	as, found := gr.queue.next(now, func(as Request) fit { return gr.fits(now, as) })
	if !found {
		return Request{}, false
	}
	gr.holds[as.ID] = &hold{ask: as, granted: now, kept: now, prefill: max(as.Prompt-as.Cached, 0), confirmed: as.Member}
	return as, true
}

// Expired removes and returns the asks that can no longer be served in time,
// and those that had to leave a full queue to others.
func (gr *Granter) Expired(now time.Time) []Request {
	out := append(gr.displaced, gr.queue.expired(now)...)
	gr.displaced = nil
	return out
}

// Withdraw removes an ask from the queue, or ends a grant that was not used.
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
		PrefillRate: gr.rate, MeanServiceMs: gr.service.Milliseconds(), Cold: gr.Limiter.Cold(now), LongPrompts: gr.queue.long(),
	}
	for le := range lo.PrefillAhead {
		lo.PrefillAhead[le] = gr.ahead(ml.Length(le))
	}
	for _, ho := range gr.holds {
		lo.Memory += ho.ask.Memory
		if ho.ask.Length >= ml.Long {
			lo.LongPrompts++
		}
	}
	return lo
}

// Idle tells whether the endpoint has nothing to do.
func (gr *Granter) Idle() bool { return len(gr.holds) == 0 && gr.queue.len() == 0 }

// fits tells whether an ask can be granted, or what it waits for.
func (gr *Granter) fits(now time.Time, as Request) fit {
	requests, unconfirmed := 0, 0
	memory, long, prefill, alike, longPrefill := as.Memory, ml.Tokens(0), max(as.Prompt-as.Cached, 0), ml.Tokens(0), false
	for _, ho := range gr.holds {
		memory += ho.ask.Memory
		if ho.ask.Member {
			continue
		}
		requests++
		prefill += ho.prefill
		if !ho.confirmed {
			unconfirmed++
		}
		if ho.ask.Length == as.Length {
			alike += ho.prefill
		}
		if ho.ask.Length >= ml.Long {
			long += ho.ask.Memory
			longPrefill = longPrefill || ho.prefill > 0
		}
	}
	engine := gr.Endpoint.Kind == ml.KindEngine
	switch {
	case as.Member:
		return room(memory <= gr.Endpoint.Memory)
	case requests >= gr.Limiter.Window(now) || unconfirmed >= gr.Limiter.MaxUnconfirmed():
		return needsRoom
	case !engine:
		return fitsNow
	case gr.Limiter.Cold(now) && prefill > gr.Endpoint.ColdTokens:
		return needsRoom
	case as.Length < ml.Long && float64(alike) > gr.rate*backlogTime.Seconds():
		return needsTurn
	case as.Length >= ml.Long && (longPrefill || (long > 0 && float64(long+as.Memory) > gr.LongShare*float64(gr.Endpoint.Memory))):
		return needsTurn
	default:
		return room(memory <= gr.Endpoint.Memory)
	}
}

func room(enough bool) fit {
	if enough {
		return fitsNow
	}
	return needsRoom
}

// ahead returns the prompt tokens, granted and waiting, that are processed
// before a new prompt of the given length.
func (gr *Granter) ahead(le ml.Length) ml.Tokens {
	_, waiting := gr.queue.ahead(le)
	return waiting + gr.prefillBefore(le)
}

func (gr *Granter) incarnation() ml.Incarnation { return gr.Limiter.Incarnation() }

func (gr *Granter) refuse(after time.Duration, format string, args ...any) error {
	return &Refused{Endpoint: gr.Endpoint.ID, Reason: fmt.Sprintf(format, args...), RetryAfter: after}
}
