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

// Ask is a request for a grant.
type Ask struct {
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

// hold is a grant that is not yet known to have ended.
type hold struct {
	ask       Ask
	granted   time.Time
	confirmed bool      // accepted by the endpoint
	accepted  time.Time // when its holder told so
	before    ml.Tokens // prompt tokens ahead of it then, with its own
	prefill   ml.Tokens // prompt tokens still to be processed
	kept      time.Time // when the holder last answered for it
	missing   int       // reports in a row that did not list it
	overdue   int       // reports in a row that listed it though nobody answers for it
	adopted   bool      // found at the engine after a change of owner
}

// Granter counts what one endpoint has been given. It is not safe for
// concurrent use.
type Granter struct {
	Endpoint  ml.Endpoint
	Timing    ml.Timing
	LongShare float64 // share of memory open to long prompts
	Limiter   limiter.Limiter

	holds   map[ml.GrantID]*hold
	queue   queue
	rate    float64       // prefill tokens a second, as measured
	service time.Duration // average time from grant to release

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
func (gr *Granter) Enqueue(now time.Time, as Ask) error {
	if as.Memory > gr.Endpoint.Memory && gr.Endpoint.Kind == ml.KindEngine {
		return gr.refuse(0, "%d tokens do not fit in %d", as.Memory, gr.Endpoint.Memory)
	}
	if gr.queue.len() >= maxQueue {
		return gr.refuse(time.Second, "%d requests are waiting", maxQueue)
	}
	as.arrived = now
	wait := gr.Wait(now, as)
	if now.Add(wait + as.Needs).After(as.Deadline) {
		return gr.refuse(wait, "the answer would come after its deadline, the wait is %v", wait.Round(time.Millisecond))
	}
	if as.MostWait > 0 && wait > as.MostWait {
		return &Refused{Endpoint: gr.Endpoint.ID, Reason: "the wait is longer than expected", Busy: true, RetryAfter: wait}
	}
	gr.queue.push(as)
	return nil
}

// Wait estimates the time until as would be granted and the engine has worked
// through the prompts before it.
func (gr *Granter) Wait(now time.Time, as Ask) time.Duration {
	ahead, _ := gr.queue.ahead(as.Length)
	prefill := time.Duration(float64(gr.ahead(as.Length)) / gr.rate * float64(time.Second))
	free := gr.Limiter.Window(now) - len(gr.holds)
	if ahead < free {
		return prefill
	}
	turns := float64(ahead-free+1) / float64(max(gr.Limiter.Window(now), 1))
	return prefill + time.Duration(turns*float64(gr.service))
}

// Next grants the next ask that fits. The second result is false when none
// does.
func (gr *Granter) Next(now time.Time) (Ask, bool) {
	as, found := gr.queue.next(now, func(as Ask) bool { return gr.fits(now, as) })
	if !found {
		return Ask{}, false
	}
	gr.holds[as.ID] = &hold{ask: as, granted: now, kept: now, prefill: max(as.Prompt-as.Cached, 0), confirmed: as.Member}
	return as, true
}

// Expired removes and returns the asks that can no longer be served in time.
func (gr *Granter) Expired(now time.Time) []Ask { return gr.queue.expired(now) }

// Withdraw removes an ask from the queue, or ends a grant that was not used.
func (gr *Granter) Withdraw(id ml.GrantID) {
	gr.queue.remove(id)
	if ho := gr.holds[id]; ho != nil && !ho.confirmed {
		delete(gr.holds, id)
	}
}

// Confirm records that the endpoint accepted the request.
func (gr *Granter) Confirm(now time.Time, id ml.GrantID, in ml.Incarnation) {
	gr.Limiter.Saw(in)
	if ho := gr.holds[id]; ho != nil {
		ho.confirmed = true
		ho.kept, ho.accepted = now, now
		ho.before = gr.prefillBefore(ho.ask.Length)
	}
}

// Started records that the first token came: the prompt is processed. The time
// that this took tells how fast the engine processes prompts in its batch.
func (gr *Granter) Started(now time.Time, id ml.GrantID) {
	ho := gr.holds[id]
	if ho == nil || ho.prefill == 0 {
		return
	}
	ho.prefill = 0
	ho.kept = now
	took := now.Sub(ho.accepted).Seconds()
	if ho.accepted.IsZero() || ho.before < minSample || took <= 0 {
		return
	}
	const old, fresh = 0.9, 0.1 // weights of the moving average
	gr.rate = min(old*gr.rate+fresh*float64(ho.before)/took, gr.reportedRate)
}

// Keep records that the holder still answers for a grant. A grant of an
// earlier owner is counted from now on.
func (gr *Granter) Keep(now time.Time, id ml.GrantID) {
	ho := gr.holds[id]
	if ho == nil {
		ho = gr.adopt(now, ml.Hold{ID: id, Kind: "stream"})
	}
	ho.kept = now
}

// Release ends a grant.
func (gr *Granter) Release(now time.Time, id ml.GrantID, ou ml.GrantOutcome) {
	ho := gr.holds[id]
	switch ou {
	case ml.Completed:
		gr.Limiter.Succeeded(now)
	case ml.Broken:
		gr.Limiter.Failed()
	case ml.Cancelled, ml.Unsent:
	}
	if ho == nil {
		return
	}
	if ou == ml.Completed && !ho.ask.Member {
		const old, fresh = 0.8, 0.2 // weights of the moving average
		gr.service = time.Duration(old*float64(gr.service) + fresh*float64(now.Sub(ho.granted)))
	}
	if ou == ml.Broken || ou == ml.Cancelled {
		// The engine's next reports show whether it is really gone.
		ho.confirmed = true
		ho.kept = time.Time{}
		return
	}
	delete(gr.holds, id)
}

// Reconcile compares the engine's own list with the grants. It returns the
// holds to cancel at the engine, since nobody answers for them. A grant that
// two reports in a row do not list has ended.
func (gr *Granter) Reconcile(now time.Time, re ml.EngineReport) []ml.GrantID {
	if re.Incarnation != gr.incarnation() {
		gr.Limiter.Saw(re.Incarnation)
	}
	cancel := []ml.GrantID{}
	listed := make(map[ml.GrantID]bool, len(re.Holds))
	for _, eh := range re.Holds {
		listed[eh.ID] = true
		ho := gr.holds[eh.ID]
		if ho == nil {
			ho = gr.adopt(now, eh)
		}
		ho.missing = 0
		ho.confirmed = true
		ho.prefill = eh.Prefill
		if gr.abandoned(now, ho) {
			cancel = append(cancel, eh.ID)
			ho.overdue++
		} else {
			ho.overdue = 0
		}
	}
	for id, ho := range gr.holds {
		if !listed[id] && now.Sub(ho.granted) > gr.Timing.GrantTerm+gr.Timing.Margin {
			ho.missing++
		}
		if ho.missing >= 2 {
			delete(gr.holds, id)
		}
	}
	return cancel
}

// maxOverdue is the number of reports in a row after which a hold that nobody
// answers for counts as lost memory.
const maxOverdue = 20

// Lost returns a hold that the endpoint keeps although it should have been
// cancelled long ago. The second result is false when there is none.
func (gr *Granter) Lost() (ml.GrantID, bool) {
	for id, ho := range gr.holds {
		if ho.overdue > maxOverdue {
			return id, true
		}
	}
	return "", false
}

// Load returns the endpoint's load at now.
func (gr *Granter) Load(now time.Time) ml.EndpointLoad {
	lo := ml.EndpointLoad{
		Requests: len(gr.holds), Waiting: gr.queue.len(), Window: gr.Limiter.Window(now),
		Rate: gr.rate, Service: gr.service.Milliseconds(), Cold: gr.Limiter.Cold(now), Long: gr.queue.long(),
	}
	for le := range lo.Ahead {
		lo.Ahead[le] = gr.ahead(ml.Length(le))
	}
	for _, ho := range gr.holds {
		lo.Memory += ho.ask.Memory
		if ho.ask.Length >= ml.Long {
			lo.Long++
		}
	}
	return lo
}

// Lapse ends the grants of an endpoint that has no list of what it runs: those
// never confirmed, and those whose holder no longer answers for them.
func (gr *Granter) Lapse(now time.Time) {
	for id, ho := range gr.holds {
		unused := !ho.confirmed && now.Sub(ho.granted) > gr.Timing.GrantTerm+gr.Timing.Margin
		if unused || now.Sub(ho.kept) > keepTerm {
			delete(gr.holds, id)
		}
	}
}

// Reported records the engine's load report.
func (gr *Granter) Reported(now time.Time, lo ml.EngineLoad) {
	gr.Limiter.Reported(now, lo)
	if lo.PrefillRate > 0 && lo.PrefillRate != gr.reportedRate {
		gr.rate, gr.reportedRate = lo.PrefillRate, lo.PrefillRate
	}
}

// Carried returns the requests and unprocessed prompt tokens given to the
// endpoint.
func (gr *Granter) Carried() (requests int, prefill ml.Tokens) {
	for _, ho := range gr.holds {
		if !ho.ask.Member {
			requests++
			prefill += ho.prefill
		}
	}
	return requests, prefill
}

// Idle tells whether the endpoint has nothing to do.
func (gr *Granter) Idle() bool { return len(gr.holds) == 0 && gr.queue.len() == 0 }

func (gr *Granter) fits(now time.Time, as Ask) bool {
	requests, unconfirmed := 0, 0
	memory, long, prefill, longPrefill := as.Memory, ml.Tokens(0), max(as.Prompt-as.Cached, 0), false
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
		if ho.ask.Length >= ml.Long {
			long += ho.ask.Memory
			longPrefill = longPrefill || ho.prefill > 0
		}
	}
	if as.Member {
		return memory <= gr.Endpoint.Memory
	}
	if requests >= gr.Limiter.Window(now) || unconfirmed >= gr.Limiter.Unconfirmed() {
		return false
	}
	if gr.Endpoint.Kind != ml.KindEngine {
		return true
	}
	if gr.Limiter.Cold(now) && prefill > gr.Endpoint.ColdTokens {
		return false
	}
	if as.Length >= ml.Long && (longPrefill || (long > 0 && float64(long+as.Memory) > gr.LongShare*float64(gr.Endpoint.Memory))) {
		return false
	}
	return memory <= gr.Endpoint.Memory
}

// abandoned tells whether nobody answers for a hold any more.
func (gr *Granter) abandoned(now time.Time, ho *hold) bool {
	late := !ho.ask.Deadline.IsZero() && now.After(ho.ask.Deadline.Add(keepTerm))
	return late || now.Sub(ho.kept) > keepTerm
}

func (gr *Granter) adopt(now time.Time, eh ml.Hold) *hold {
	length := ml.Short
	if eh.Prefill > gr.Endpoint.ColdTokens {
		length = ml.Long
	}
	ho := &hold{
		ask:     Ask{ID: eh.ID, Memory: eh.Tokens, Length: length, Member: eh.Kind != "stream"},
		granted: now, kept: now, prefill: eh.Prefill, confirmed: true, adopted: true,
	}
	gr.holds[eh.ID] = ho
	return ho
}

// ahead returns the prompt tokens, granted and waiting, that are processed
// before a new prompt of the given length.
func (gr *Granter) ahead(le ml.Length) ml.Tokens {
	_, waiting := gr.queue.ahead(le)
	return waiting + gr.prefillBefore(le)
}

// prefillBefore returns the granted prompt tokens that an engine processes
// before a new prompt of the given length.
func (gr *Granter) prefillBefore(le ml.Length) ml.Tokens {
	sum := ml.Tokens(0)
	for _, ho := range gr.holds {
		if ho.ask.Length <= le {
			sum += ho.prefill
		}
	}
	return sum
}

func (gr *Granter) incarnation() ml.Incarnation { return gr.Limiter.Incarnation() }

func (gr *Granter) refuse(after time.Duration, format string, args ...any) error {
	return &Refused{Endpoint: gr.Endpoint.ID, Reason: fmt.Sprintf(format, args...), RetryAfter: after}
}
