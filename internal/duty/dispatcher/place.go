package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/duty/holder"
)

const (
	// minPatience is the shortest time that a request waits in the queue of
	// one endpoint before it tries another.
	minPatience = 300 * time.Millisecond
	// tokenTime is the time assumed for one token of an answer when a
	// deadline is judged.
	tokenTime = 5 * time.Millisecond
	// judgedTokens bounds the tokens counted in that judgement: answers are
	// often shorter than their limit.
	judgedTokens = 64
)

// place finds an endpoint and gets a grant for it, and for a prompt larger
// than one engine a group with it.
func (di *Dispatcher) place(ctx context.Context, rq *Request, avoid []ml.EndpointID) (*holder.HeldGrant, *group, error) {
	memory := rq.EstimatedTokens + rq.MaxTokens
	largest, serves := ml.Tokens(0), false
	di.Routes.WithTable(func(ta *router.Table) {
		largest, serves = ta.LargestMemory(rq.Model), ta.Serves(rq.Model, "")
	})
	if !serves {
		return nil, nil, di.unserved(func(ep ml.Endpoint) bool { return ep.Model == rq.Model }, fmt.Sprintf("no engine serves model %q", rq.Model))
	}
	if memory > largest {
		return di.placeGroup(ctx, rq, memory)
	}
	he, err := di.placeOne(ctx, rq, router.Request{
		Model: rq.Model, Length: rq.rank, Prompt: rq.EstimatedTokens, Memory: memory, PrefixHash: rq.prefix,
	}, avoid)
	return he, nil, err
}

// unserved returns the error for something that no endpoint in service serves:
// not found when none that is listed does.
func (di *Dispatcher) unserved(serves func(ml.Endpoint) bool, what string) error {
	er := &ml.Error{Type: ml.ErrNotFound, Step: "route", NotRun: true, Err: errors.New(what)}
	if slices.ContainsFunc(di.Keeper.VMs().Endpoints, serves) {
		er.Type, er.Err = ml.ErrUnavailable, errors.New(what+" at present")
	}
	return er
}

// placeOne asks the owners of a few endpoints, one after the other, until one
// grants. Where each has a longer wait than it was predicted to have, the
// least busy one is asked again.
func (di *Dispatcher) placeOne(ctx context.Context, rq *Request, rr router.Request, avoid []ml.EndpointID) (*holder.HeldGrant, error) {
	hops := di.Keeper.View().Config.Retries.MaxRefusalHops
	tried := append([]ml.EndpointID{}, avoid...)
	var last error
	least := offer{}
	for hop := range hops {
		of, found := di.pick(rr, tried)
		if !found {
			break
		}
		of.last = of.last || hop == hops-1
		he, err := di.reserve(ctx, rq, rr, of, hop)
		if err == nil {
			return he, nil
		}
		di.ended(of.Endpoint.ID)
		if er := ml.AsError("reserve", err); er.Type != ml.ErrBusy {
			last = worst(last, err)
		} else if least.Owner == "" || er.RetryAfter < least.wait {
			least, least.wait = of, er.RetryAfter
		}
		if ctx.Err() != nil {
			return nil, worst(last, err)
		}
		tried = append(tried, of.Endpoint.ID)
	}
	if least.Owner != "" {
		return di.placeAnyway(ctx, rq, rr, least, hops)
	}
	if last == nil {
		last = &ml.Error{Type: ml.ErrUnavailable, Step: "route", NotRun: true, Err: errors.New("no endpoint in service can take it")}
	}
	return nil, last
}

// placeAnyway asks an owner again, whatever the wait.
func (di *Dispatcher) placeAnyway(ctx context.Context, rq *Request, rr router.Request, of offer, part int) (*holder.HeldGrant, error) {
	di.Routes.WithTable(func(ta *router.Table) { ta.RecordOffer(of.Endpoint.ID, rr) })
	of.last, of.mostWait = true, 0
	he, err := di.reserve(ctx, rq, rr, of, part)
	if err != nil {
		di.ended(of.Endpoint.ID)
	}
	return he, err
}

// offer is an endpoint that a request is offered to.
type offer struct {
	router.Candidate
	mostWait time.Duration // beyond it others are asked first; zero for any wait
	patience time.Duration // longest wait for the grant, unless it is the last
	last     bool          // there is no other to try
	wait     time.Duration // as its owner told
}

// pick chooses an endpoint and counts the request as offered to it.
func (di *Dispatcher) pick(rr router.Request, avoid []ml.EndpointID) (of offer, found bool) {
	now := time.Now()
	di.Routes.WithTable(func(ta *router.Table) {
		ca, ok := ta.Pick(now, rr, avoid)
		if !ok {
			return
		}
		const times = 3
		of = offer{
			Candidate: *ca, mostWait: ta.MaxWait(now, rr, ca), patience: max(minPatience, times*router.PredictTTFT(now, rr, ca)),
		}
		found = true
		ta.RecordOffer(ca.Endpoint.ID, rr)
		_, more := ta.Pick(now, rr, append(slices.Clone(avoid), ca.Endpoint.ID))
		of.last = !more
	})
	return of, found
}

// reserve asks for a grant. The last endpoint asked is waited for as long as
// the deadline allows; the ones before it for a few times the predicted wait.
func (di *Dispatcher) reserve(ctx context.Context, rq *Request, rr router.Request, of offer, part int) (*holder.HeldGrant, error) {
	left := time.Until(rq.Deadline)
	needs := time.Duration(min(rq.MaxTokens-rq.Position, judgedTokens)) * tokenTime
	patience := left
	if !of.last {
		patience = min(left, of.patience)
	}
	return di.Holder.Reserve(ctx, of.Endpoint, of.Owner, ml.Reservation{
		ID: grantID(rq, part), Endpoint: of.Endpoint.ID, Holder: di.Self, Team: rq.Team,
		Weight: di.Keeper.View().Config.TeamFor(rq.Team).Weight, Length: rr.Length, Prompt: rr.Prompt,
		Memory: rr.Memory, DeadlineMs: left.Milliseconds(), MinDurationMs: needs.Milliseconds(), GrantTimeoutMs: patience.Milliseconds(),
		MaxPredictedWaitMs: of.mostWait.Milliseconds(),
	})
}

// worst keeps the refusal that tells most.
func worst(a, b error) error {
	if a == nil || telling(b) > telling(a) {
		return b
	}
	return a
}

// telling orders refusals: a change of owner, after which the request may be
// served, before lack of time, and that before anything else.
func telling(err error) int {
	switch ml.TypeOf(err) {
	case ml.ErrEndpointNotFound:
		return 2
	case ml.ErrOverloaded:
		return 1
	default:
		return 0
	}
}
