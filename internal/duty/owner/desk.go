package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/granter"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

const (
	// reportInterval is the time between two reads of the engine's list.
	reportInterval = 250 * time.Millisecond
	// reportTimeout bounds one read of the engine's list.
	reportTimeout = time.Second
	// reportKept is the time after which an engine whose list can't be read
	// gets no more work.
	reportKept = 2 * time.Second
	// serviceWait is the time a new owner of a service, which has no list,
	// waits for the holders of earlier grants to tell of them.
	serviceWait = 1500 * time.Millisecond
)

var (
	grantsMade  = metrics.NewCounter("mulberrylever_grants_total")
	busyAnswers = metrics.NewCounter("mulberrylever_grant_busy_answers_total")
	refusals    = metrics.NewCounter("mulberrylever_grant_refusals_total")
	orphans     = metrics.NewCounter("mulberrylever_holds_cancelled_total")
)

// desk grants work for one endpoint.
type desk struct {
	owner  *Owner
	cancel context.CancelFunc
	opened time.Time

	mu       sync.Mutex
	closed   bool
	endpoint ml.Endpoint
	granter  *granter.Granter
	waiting  map[ml.GrantID]chan ml.Grant
	reported time.Time // last good read of the engine's list
	warming  bool
}

// run looks after the queue and the engine until ctx ends.
func (de *desk) run(ctx context.Context) error {
	de.step(ctx, time.Now())
	return pacer.Every(ctx, interval, func(now time.Time) { de.step(ctx, now) })
}

func (de *desk) step(ctx context.Context, now time.Time) {
	if now.Sub(de.reportedAt()) >= reportInterval {
		de.reconcile(ctx)
	}
	de.pump(time.Now()) // to reconcile takes time
	de.warm(ctx, now)
}

// list records what the platform's list says of the endpoint now.
func (de *desk) list(ep ml.Endpoint) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.endpoint = ep
}

func (de *desk) reportedAt() time.Time {
	de.mu.Lock()
	defer de.mu.Unlock()
	return de.reported
}

// reserve waits until the ask is granted or refused, or ctx ends.
func (de *desk) reserve(ctx context.Context, re ml.Reservation) ml.Grant {
	answer, refusal := de.enqueue(time.Now(), re)
	if answer == nil && refusal.Type == ml.ErrBusy {
		busyAnswers.Inc()
		return refusal
	}
	if answer == nil {
		refusals.Inc()
		return refusal
	}
	patience := time.NewTimer(time.Duration(re.GrantTimeoutMs) * time.Millisecond)
	defer patience.Stop()
	select {
	case gr := <-answer:
		return gr
	case <-patience.C:
	case <-ctx.Done():
	}
	return de.withdraw(re.ID, answer)
}

func (de *desk) enqueue(now time.Time, re ml.Reservation) (chan ml.Grant, ml.Grant) {
	de.mu.Lock()
	defer de.mu.Unlock()
	if de.closed {
		return nil, ml.Grant{Type: ml.ErrEndpointNotFound, Reason: "this VM is no longer the owner"}
	}
	if why := de.unusable(now); why != "" {
		return nil, ml.Grant{Type: ml.ErrUnavailable, Reason: why}
	}
	as := granter.Request{
		ID: re.ID, Holder: re.Holder, Team: re.Team, Weight: re.Weight, Length: re.Length, Prompt: re.Prompt,
		Cached: re.Cached, Memory: re.Memory, Member: re.Member,
		Deadline: now.Add(time.Duration(re.DeadlineMs) * time.Millisecond),
		Needs:    time.Duration(re.MinDurationMs) * time.Millisecond,
		MostWait: time.Duration(re.MaxPredictedWaitMs) * time.Millisecond,
	}
	var refused *granter.Refused
	if err := de.granter.Enqueue(now, as); errors.As(err, &refused) {
		gr := ml.Grant{Type: ml.ErrOverloaded, Reason: refused.Reason, RetryAfterMs: refused.RetryAfter.Milliseconds()}
		if refused.Busy {
			gr.Type = ml.ErrBusy
		}
		return nil, gr
	}
	answer := make(chan ml.Grant, 1)
	de.waiting[re.ID] = answer
	de.pumpLocked(now)
	return answer, ml.Grant{}
}

// withdraw gives up a place in the queue. A grant that came at the same moment
// is ended unused.
func (de *desk) withdraw(id ml.GrantID, answer chan ml.Grant) ml.Grant {
	de.mu.Lock()
	defer de.mu.Unlock()
	select {
	case gr := <-answer:
		if gr.Granted {
			de.granter.Withdraw(id)
		}
	default:
		de.granter.Withdraw(id)
		delete(de.waiting, id)
	}
	return ml.Grant{Type: ml.ErrOverloaded, Reason: "no grant within the time allowed for waiting"}
}

// tell records what happened to a grant.
func (de *desk) tell(now time.Time, ne ml.GrantEvent) {
	de.mu.Lock()
	defer de.mu.Unlock()
	if de.closed {
		return
	}
	switch ne.Kind {
	case ml.GrantConfirmed:
		de.granter.Confirm(now, ne.ID, ne.Incarnation)
	case ml.GrantStarted:
		de.granter.Started(now, ne.ID)
	case ml.GrantKept:
		de.granter.Keep(now, ne.ID)
	case ml.GrantReleased:
		de.granter.Release(now, ne.ID, ne.Outcome)
	}
	de.pumpLocked(now)
}

func (de *desk) pump(now time.Time) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.pumpLocked(now)
}

// pumpLocked answers the asks that have run out of time and those that fit.
func (de *desk) pumpLocked(now time.Time) {
	for _, as := range de.granter.Expired(now) {
		de.answer(as.ID, ml.Grant{Type: ml.ErrOverloaded, Reason: "the answer would come after its deadline, or others fill the queue"})
	}
	if why := de.unusable(now); why != "" {
		de.refuseAll(ml.ErrUnavailable, why)
		return
	}
	if de.recovering(now) {
		return
	}
	for de.owner.Membership.MayGrant(now, de.endpoint.ID) {
		as, found := de.granter.GrantNext(now)
		if !found {
			return
		}
		de.audit(now, as)
		grantsMade.Inc()
		de.answer(as.ID, ml.Grant{Granted: true, Clock: de.owner.Clock.Read(now), Incarnation: de.granter.Limiter.Incarnation()})
	}
}

// audit checks what must hold at every grant.
func (de *desk) audit(now time.Time, as granter.Request) {
	requests, prefill := de.granter.Carried()
	if de.granter.Limiter.Cold(now) && !as.Member {
		_ = de.owner.Auditor.Check(auditor.ColdCapacity,
			requests <= de.endpoint.ColdRequests && (prefill <= de.endpoint.ColdTokens || de.endpoint.Kind != ml.KindEngine),
			"endpoint %s is cold and was given %d requests with %d prompt tokens", de.endpoint.ID, requests, prefill)
	}
	_ = de.owner.Auditor.Check(auditor.LeavingEndpoint, de.endpoint.State != ml.StateLeaving,
		"endpoint %s is leaving and was given %s", de.endpoint.ID, as.ID)
}

func (de *desk) answer(id ml.GrantID, gr ml.Grant) {
	if answer := de.waiting[id]; answer != nil {
		answer <- gr
		delete(de.waiting, id)
	}
}

func (de *desk) refuseAll(ty ml.ErrorType, why string) {
	for id := range de.waiting {
		de.granter.Withdraw(id)
		de.answer(id, ml.Grant{Type: ty, Reason: why})
	}
}

// unusable tells why the endpoint gets no new work, or "".
func (de *desk) unusable(now time.Time) string {
	if why := de.owner.Keeper.View().OutOfServiceReason(de.endpoint); why != "" {
		return why
	}
	silent := now.Sub(de.reported) > reportKept && now.Sub(de.opened) > reportKept
	if de.endpoint.Kind == ml.KindEngine && silent {
		return "the engine does not answer"
	}
	return ""
}

// recovering tells whether work of an earlier owner may still be unknown.
func (de *desk) recovering(now time.Time) bool {
	if de.endpoint.Kind == ml.KindEngine {
		return de.reported.IsZero()
	}
	return now.Sub(de.opened) < serviceWait
}

// reconcile reads the engine's list and load and compares them with the
// grants. Services have neither.
func (de *desk) reconcile(ctx context.Context) {
	if de.endpoint.Kind != ml.KindEngine {
		de.mu.Lock()
		defer de.mu.Unlock()
		de.granter.Lapse(time.Now())
		de.reported = time.Now()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	re, err := de.owner.Engine.Report(ctx, de.endpoint)
	if err != nil {
		de.owner.Log.Debug("read engine's list", "endpoint", de.endpoint.ID, "error", err)
		return
	}
	lo, loadErr := de.owner.Engine.Load(ctx, de.endpoint)
	de.mu.Lock()
	now := time.Now()
	de.reported = now
	cancelled := de.granter.Reconcile(now, re)
	id, lost := de.granter.Lost()
	_ = de.owner.Auditor.Check(auditor.MemoryReturned, !lost, "endpoint %s still holds %s, which nobody answers for", de.endpoint.ID, id)
	if loadErr == nil {
		de.granter.Reported(now, lo)
	}
	de.pumpLocked(now)
	de.mu.Unlock()
	if mutator.Disabled(mutator.Orphans) {
		return
	}
	for _, id := range cancelled {
		orphans.Inc()
		de.owner.Log.Info("cancel hold that nobody answers for", "endpoint", de.endpoint.ID, "grant", id)
		_ = de.owner.Engine.Cancel(ctx, de.endpoint, id)
	}
}

// load returns the endpoint's load, and whether it can take work.
func (de *desk) load(now time.Time) (ml.EndpointLoad, bool) {
	de.mu.Lock()
	defer de.mu.Unlock()
	return de.granter.Load(now), de.unusable(now) == "" && !de.recovering(now)
}

// close refuses everything that waits: another VM is the owner now.
func (de *desk) close() {
	de.cancel()
	de.mu.Lock()
	defer de.mu.Unlock()
	de.closed = true
	de.refuseAll(ml.ErrEndpointNotFound, "this VM is no longer the owner")
}
