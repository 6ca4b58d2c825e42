package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/duty/holder"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

// serviceCallTokens is the size of a service call in queues that count tokens.
const serviceCallTokens ml.Tokens = 1

// Call makes an idempotent call to a plain service. If an endpoint fails, the
// call is retried on another one.
func (di *Dispatcher) Call(ctx context.Context, rq *Request, service ml.ServiceName, sc ml.ServiceCall) (ml.ServiceAnswer, error) {
	return di.call(ctx, rq, service, sc, func(time.Time) error { return nil })
}

func (di *Dispatcher) call(
	ctx context.Context, rq *Request, service ml.ServiceName, sc ml.ServiceCall, checkClaim func(time.Time) error,
) (ml.ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, rq.Deadline)
	defer cancel()
	di.Budget.RecordRequest(di.Keeper.View().Config.Retries.BudgetPerCent)
	an := ml.ServiceAnswer{}
	err := di.withRetries(ctx, rq, func(ctx context.Context, avoid []ml.EndpointID) (ml.EndpointID, error) {
		got, failed, err := di.tryCall(ctx, rq, service, sc, avoid, checkClaim)
		an = got
		return failed, err
	})
	return an, err
}

// CallAtMostOnce makes a call that may not be repeated. Another endpoint is
// tried only if certainly no byte was sent. checkClaim runs right before the
// call is sent. If it returns an error, the call is not sent.
func (di *Dispatcher) CallAtMostOnce(
	ctx context.Context, rq *Request, service ml.ServiceName, sc ml.ServiceCall, checkClaim func(time.Time) error,
) (ml.ServiceAnswer, error) {
	rq.atMostOnce = true
	an, err := di.call(ctx, rq, service, sc, checkClaim)
	if err != nil {
		er := *ml.AsError("call service", err)
		er.NotRun = !rq.mayHaveRun || mutator.Disabled(mutator.NotRun)
		_ = di.Auditor.Check(auditor.NotRunTrue, !er.NotRun || !rq.mayHaveRun, "request %s is reported as not run, but may have run", rq.ID)
		return an, &er
	}
	return an, nil
}

// tryCall makes one attempt. It also returns the endpoint that was tried.
func (di *Dispatcher) tryCall(
	ctx context.Context, rq *Request, service ml.ServiceName, sc ml.ServiceCall, avoid []ml.EndpointID, checkClaim func(time.Time) error,
) (ml.ServiceAnswer, ml.EndpointID, error) {
	serves := false
	di.Routes.WithTable(func(ta *router.Table) { serves = ta.Serves("", service) })
	if !serves {
		what := fmt.Sprintf("no endpoint serves %q", service)
		return ml.ServiceAnswer{}, "", di.notServed(time.Now(), func(ep ml.Endpoint) bool { return ep.Service == service }, what)
	}
	he, err := di.placeOne(ctx, rq, router.Request{Service: service, Prompt: serviceCallTokens}, avoid)
	if err != nil {
		return ml.ServiceAnswer{}, "", err
	}
	defer di.recordEnded(he.Endpoint.ID)
	an, ou, err := di.invoke(ctx, rq, he, sc, checkClaim)
	he.Release(ou)
	return an, he.Endpoint.ID, err
}

func (di *Dispatcher) invoke(
	ctx context.Context, rq *Request, he *holder.HeldGrant, sc ml.ServiceCall, checkClaim func(time.Time) error,
) (ml.ServiceAnswer, ml.GrantOutcome, error) {
	now := time.Now()
	if err := he.CheckUsable(now); err != nil {
		return ml.ServiceAnswer{}, ml.OutcomeUnsent, err
	}
	if err := checkClaim(now); err != nil {
		return ml.ServiceAnswer{}, ml.OutcomeUnsent, err
	}
	_ = di.Auditor.Check(auditor.AtMostOnce, sc.Key == "" || rq.Claim != "", "request %s with key %q has no claim", rq.ID, sc.Key)
	di.checkInService(now, he.Endpoint)
	he.Confirm("")
	an, err := di.Service.Call(ctx, he.Endpoint, sc)
	if err == nil {
		rq.mayHaveRun = true
		return an, ml.OutcomeCompleted, nil
	}
	rq.mayHaveRun = rq.mayHaveRun || !ml.AsError("call service", err).NotRun
	if errors.Is(ctx.Err(), context.Canceled) {
		return an, ml.OutcomeCancelled, err
	}
	return an, ml.OutcomeEndpointFailed, err
}
