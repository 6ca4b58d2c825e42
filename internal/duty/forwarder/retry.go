package forwarder

import (
	"context"
	"errors"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/budgeter"
)

// shouldRetry reports whether a request is sent again. A request that may have run
// is repeated only if the route is idempotent and has attempts left. The retry
// budget is charged unless the request did not reach the endpoint.
func (fo *Forwarder) shouldRetry(ctx context.Context, rq *Request, ar attemptResult) bool {
	if ctx.Err() != nil || time.Until(rq.Deadline) < minTimeForRetry || rq.sendCount >= maxSendsPerRequest {
		return false
	}
	var ue *unplaceableError
	if errors.As(ar.err, &ue) {
		return false
	}
	if rq.possibleRuns > 0 && (!rq.Route.Idempotent() || rq.possibleRuns >= rq.maxAttempts()) {
		return false
	}
	if rq.headSent && !rq.Route.Resumable {
		return false
	}
	return !ar.received || rq.retryCharged.Swap(false) || fo.allowRetry(time.Now(), rq.Service)
}

func (fo *Forwarder) retryBudget(service ml.ServiceName) *budgeter.Budgeter {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.retryBudgets == nil {
		fo.retryBudgets = make(map[ml.ServiceName]*budgeter.Budgeter)
	}
	bu := fo.retryBudgets[service]
	if bu == nil {
		bu = &budgeter.Budgeter{}
		fo.retryBudgets[service] = bu
	}
	return bu
}

// allowRetry takes one retry from the budget of this entry VM, if there is one. Its
// burst is a share of that of the fleet, and at least one retry.
func (fo *Forwarder) allowRetry(now time.Time, service ml.ServiceName) bool {
	burst := fo.RetryBurst
	if fo.Membership != nil {
		burst = fo.Divider.Share(fo.Membership(now), string(service), burst)
	}
	bu := fo.retryBudget(service)
	bu.SetBurst(float64(max(burst, 1)))
	return bu.AllowRetry()
}

// prepayRetry charges the retry budget for one more attempt, unless it was already
// charged. It reports whether that attempt is allowed.
func (fo *Forwarder) prepayRetry(rq *Request) bool {
	if !rq.retryCharged.Load() && fo.allowRetry(time.Now(), rq.Service) {
		rq.retryCharged.Store(true)
	}
	return rq.retryCharged.Load()
}
