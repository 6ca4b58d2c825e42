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
	// engineReportInterval is the time between two reads of the engine's report.
	engineReportInterval = 250 * time.Millisecond
	// engineReportTimeout bounds one read of the engine's report and load.
	engineReportTimeout = time.Second
	// maxReportAge is the time without a report after which an engine gets no
	// more work.
	maxReportAge = 2 * time.Second
	// serviceRecoveryTime is the time that a new owner of a service waits for
	// keepalives of earlier grants, since services do not report theirs.
	serviceRecoveryTime = 1500 * time.Millisecond
)

var (
	grantsIssued   = metrics.NewCounter("mulberrylever_grants_total")
	busyRefusals   = metrics.NewCounter("mulberrylever_grant_busy_answers_total")
	refusals       = metrics.NewCounter("mulberrylever_grant_refusals_total")
	cancelledHolds = metrics.NewCounter("mulberrylever_holds_cancelled_total")
)

// endpointGranter grants work for one endpoint.
type endpointGranter struct {
	owner     *Owner
	cancel    context.CancelFunc
	startedAt time.Time

	mu           sync.Mutex
	closed       bool
	endpoint     ml.Endpoint
	granter      *granter.Granter
	pending      map[ml.GrantID]chan ml.Grant // where waiting reservations get their answers
	reconciledAt time.Time                    // last successful reconciliation
	warmingUp    bool
}

// run processes the queue and reconciles with the engine until ctx ends.
func (eg *endpointGranter) run(ctx context.Context) error {
	eg.update(ctx, time.Now())
	return pacer.Every(ctx, updateInterval, func(now time.Time) { eg.update(ctx, now) })
}

func (eg *endpointGranter) update(ctx context.Context, now time.Time) {
	if now.Sub(eg.lastReconciled()) >= engineReportInterval {
		eg.reconcile(ctx)
	}
	eg.processQueue(time.Now()) // now is outdated after reconcile
	eg.startWarmUp(ctx, now)
}

// setEndpoint replaces the endpoint's entry from the platform's list.
func (eg *endpointGranter) setEndpoint(ep ml.Endpoint) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.endpoint = ep
}

func (eg *endpointGranter) lastReconciled() time.Time {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.reconciledAt
}

// reserve waits until the request is granted or refused, its wait has timed out
// or ctx ends.
func (eg *endpointGranter) reserve(ctx context.Context, re ml.Reservation) ml.Grant {
	answer, refusal := eg.enqueue(time.Now(), re)
	if answer == nil && refusal.Type == ml.ErrBusy {
		busyRefusals.Inc()
		return refusal
	}
	if answer == nil {
		refusals.Inc()
		return refusal
	}
	timeout := time.NewTimer(time.Duration(re.GrantTimeoutMs) * time.Millisecond)
	defer timeout.Stop()
	select {
	case gr := <-answer:
		return gr
	case <-timeout.C:
	case <-ctx.Done():
	}
	return eg.withdraw(time.Now(), re, answer)
}

func (eg *endpointGranter) enqueue(now time.Time, re ml.Reservation) (chan ml.Grant, ml.Grant) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if eg.closed {
		return nil, ml.Grant{Type: ml.ErrEndpointNotFound, Reason: "this VM is no longer the owner"}
	}
	if reason := eg.unavailableReason(now); reason != "" {
		return nil, ml.Grant{Type: ml.ErrUnavailable, Reason: reason}
	}
	var refused *granter.RefusalError
	if err := eg.granter.Enqueue(now, newRequest(now, re)); errors.As(err, &refused) {
		gr := ml.Grant{Type: ml.ErrOverloaded, Reason: refused.Reason, RetryAfterMs: refused.RetryAfter.Milliseconds()}
		if refused.Busy {
			gr.Type = ml.ErrBusy
		}
		return nil, gr
	}
	answer := make(chan ml.Grant, 1)
	eg.pending[re.ID] = answer
	eg.processQueueLocked(now)
	return answer, ml.Grant{}
}

// newRequest returns a reservation as the granter's input.
func newRequest(now time.Time, re ml.Reservation) granter.Request {
	return granter.Request{
		ID: re.ID, Holder: re.Holder, Team: re.Team, Weight: re.Weight, Length: re.Length, Prompt: re.Prompt,
		Cached: re.Cached, Memory: re.Memory, Member: re.Member,
		Deadline:    now.Add(time.Duration(re.DeadlineMs) * time.Millisecond),
		MinDuration: time.Duration(re.MinDurationMs) * time.Millisecond,
		MaxWait:     time.Duration(re.MaxPredictedWaitMs) * time.Millisecond,
	}
}

// withdraw removes a request from the queue. A grant made in the meantime is
// ended unused. A holder that goes on to other endpoints learns how long it
// would wait here: they may be gone by then.
func (eg *endpointGranter) withdraw(now time.Time, re ml.Reservation, answer chan ml.Grant) ml.Grant {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	select {
	case gr := <-answer:
		if gr.Granted {
			eg.granter.Withdraw(re.ID)
		}
	default:
		eg.granter.Withdraw(re.ID)
		delete(eg.pending, re.ID)
	}
	out := ml.Grant{Type: ml.ErrOverloaded, Reason: "no grant within the time allowed for waiting"}
	if re.MaxPredictedWaitMs > 0 {
		busyRefusals.Inc()
		out.Type, out.RetryAfterMs = ml.ErrBusy, eg.granter.EstimateWait(now, newRequest(now, re)).Milliseconds()
	}
	return out
}

// record updates the granter with what the holder reports about a grant.
func (eg *endpointGranter) record(now time.Time, ev ml.GrantEvent) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if eg.closed {
		return
	}
	switch ev.Kind {
	case ml.GrantConfirmed:
		eg.granter.Confirm(now, ev.ID, ev.Incarnation)
	case ml.GrantStarted:
		eg.granter.MarkStarted(now, ev.ID)
	case ml.GrantKept:
		eg.granter.KeepAlive(now, ev.ID)
	case ml.GrantReleased:
		eg.granter.Release(now, ev.ID, ev.Outcome)
	}
	eg.processQueueLocked(now)
}

func (eg *endpointGranter) processQueue(now time.Time) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.processQueueLocked(now)
}

// processQueueLocked refuses the requests that can no longer be served in time
// and grants those that the endpoint can take.
func (eg *endpointGranter) processQueueLocked(now time.Time) {
	for _, rq := range eg.granter.TakeRejected(now) {
		eg.answer(rq.ID, ml.Grant{Type: ml.ErrOverloaded, Reason: "the answer would come after its deadline, or others fill the queue"})
	}
	if reason := eg.unavailableReason(now); reason != "" {
		eg.refuseAll(ml.ErrUnavailable, reason)
		return
	}
	if eg.recovering(now) {
		return
	}
	for eg.owner.Membership.MayGrant(now, eg.endpoint.ID) {
		rq, found := eg.granter.GrantNext(now)
		if !found {
			return
		}
		eg.audit(now, rq)
		grantsIssued.Inc()
		eg.answer(rq.ID, ml.Grant{Granted: true, Clock: eg.owner.Clock.Read(now), Incarnation: eg.granter.Limiter.Incarnation()})
	}
}

// audit checks the invariants that must hold at every grant.
func (eg *endpointGranter) audit(now time.Time, rq granter.Request) {
	requests, prefill := eg.granter.GrantedWork()
	if eg.granter.Limiter.Cold(now) && !rq.Member {
		_ = eg.owner.Auditor.Check(auditor.ColdCapacity,
			requests <= eg.endpoint.ColdRequests && (prefill <= eg.endpoint.ColdTokens || eg.endpoint.Kind != ml.KindEngine),
			"endpoint %s is cold and was given %d requests with %d prompt tokens", eg.endpoint.ID, requests, prefill)
	}
	_ = eg.owner.Auditor.Check(auditor.LeavingEndpoint, eg.endpoint.State != ml.StateLeaving,
		"endpoint %s is leaving and was given %s", eg.endpoint.ID, rq.ID)
}

func (eg *endpointGranter) answer(id ml.GrantID, gr ml.Grant) {
	if answer := eg.pending[id]; answer != nil {
		answer <- gr
		delete(eg.pending, id)
	}
}

func (eg *endpointGranter) refuseAll(ty ml.ErrorType, reason string) {
	for id := range eg.pending {
		eg.granter.Withdraw(id)
		eg.answer(id, ml.Grant{Type: ty, Reason: reason})
	}
}

// unavailableReason returns why the endpoint gets no new work, or "" when it
// may.
func (eg *endpointGranter) unavailableReason(now time.Time) string {
	if reason := eg.owner.Keeper.View().OutOfServiceReason(eg.endpoint); reason != "" {
		return reason
	}
	noReport := now.Sub(eg.reconciledAt) > maxReportAge && now.Sub(eg.startedAt) > maxReportAge
	if eg.endpoint.Kind == ml.KindEngine && noReport {
		return "the engine does not answer"
	}
	return ""
}

// recovering reports whether grants of an earlier owner may still be unknown.
func (eg *endpointGranter) recovering(now time.Time) bool {
	if eg.endpoint.Kind == ml.KindEngine {
		return eg.reconciledAt.IsZero()
	}
	return now.Sub(eg.startedAt) < serviceRecoveryTime
}

// reconcile updates the grants from the engine's report and load, and cancels
// abandoned holds at the engine. Services report neither, so their grants end
// by missing keepalives.
func (eg *endpointGranter) reconcile(ctx context.Context) {
	if eg.endpoint.Kind != ml.KindEngine {
		eg.mu.Lock()
		defer eg.mu.Unlock()
		eg.granter.ExpireGrants(time.Now())
		eg.reconciledAt = time.Now()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineReportTimeout)
	defer cancel()
	re, err := eg.owner.Engine.Report(ctx, eg.endpoint)
	if err != nil {
		eg.owner.Log.Debug("reading engine report failed", "endpoint", eg.endpoint.ID, "error", err)
		return
	}
	lo, loadErr := eg.owner.Engine.Load(ctx, eg.endpoint)
	eg.mu.Lock()
	now := time.Now()
	eg.reconciledAt = now
	abandoned := eg.granter.Reconcile(now, re)
	id, leaked := eg.granter.LeakedHold()
	_ = eg.owner.Auditor.Check(auditor.MemoryReturned, !leaked, "endpoint %s has not freed abandoned hold %s", eg.endpoint.ID, id)
	if loadErr == nil {
		eg.granter.RecordLoad(now, lo)
	}
	eg.processQueueLocked(now)
	eg.mu.Unlock()
	if mutator.Disabled(mutator.Orphans) {
		return
	}
	for _, id := range abandoned {
		cancelledHolds.Inc()
		eg.owner.Log.Info("cancelling abandoned hold", "endpoint", eg.endpoint.ID, "grant", id)
		_ = eg.owner.Engine.Cancel(ctx, eg.endpoint, id)
	}
}

// load returns the endpoint's load, and whether it takes new work.
func (eg *endpointGranter) load(now time.Time) (ml.EndpointLoad, bool) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.granter.Load(now), eg.unavailableReason(now) == "" && !eg.recovering(now)
}

// close stops the granter and refuses all queued requests, since this VM no
// longer owns the endpoint.
func (eg *endpointGranter) close() {
	eg.cancel()
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.closed = true
	eg.refuseAll(ml.ErrEndpointNotFound, "this VM is no longer the owner")
}
