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
	// minGrantWait is the shortest time that a request waits for the grant of
	// one endpoint before it tries another.
	minGrantWait = 300 * time.Millisecond
	// estimatedTokenTime is the time for one token of an answer, used to
	// estimate how long the answer takes.
	estimatedTokenTime = 5 * time.Millisecond
	// maxEstimatedTokens bounds the tokens in that estimate, since answers are
	// often shorter than their limit.
	maxEstimatedTokens = 64
	// maxListAge is the age of the list of VMs up to which a model or a service that is not
	// in it doesn't exist: several polls.
	maxListAge = 2 * time.Second
)

// place chooses an endpoint and gets a grant for it. For a prompt larger than
// one engine's memory, it also reserves a group of engines.
func (di *Dispatcher) place(ctx context.Context, rq *Request, avoid []ml.EndpointID) (*holder.HeldGrant, *group, error) {
	memory := rq.EstimatedTokens + rq.MaxTokens
	largest, serves := ml.Tokens(0), false
	di.Routes.WithTable(func(ta *router.Table) {
		largest, serves = ta.LargestMemory(rq.Model), ta.Serves(rq.Model, "")
	})
	if !serves {
		return nil, nil, di.notServed(time.Now(), func(ep ml.Endpoint) bool { return ep.Model == rq.Model }, fmt.Sprintf("no engine serves model %q", rq.Model))
	}
	if memory > largest {
		return di.placeGroup(ctx, rq, memory)
	}
	he, err := di.placeOne(ctx, rq, router.Request{
		Model: rq.Model, Length: rq.schedulingLength, Prompt: rq.EstimatedTokens, Memory: memory, PrefixHash: rq.prefixHash,
	}, avoid)
	return he, nil, err
}

// notServed returns the error for a model or service that no endpoint in
// service serves. It is ErrNotFound if no listed endpoint serves it either, and the list is
// not older than maxListAge: a newer one may have such an endpoint.
func (di *Dispatcher) notServed(now time.Time, serves func(ml.Endpoint) bool, what string) error {
	er := &ml.Error{Type: ml.ErrNotFound, Step: "route", NotRun: true, Err: errors.New(what)}
	switch {
	case slices.ContainsFunc(di.Keeper.VMs().Endpoints, serves):
		er.Type, er.Err = ml.ErrUnavailable, errors.New(what+" at present")
	case now.Sub(di.Keeper.VMsConfirmedAt()) > maxListAge:
		er.Type, er.Err = ml.ErrUnavailable, errors.New(what+" in a list that may be old")
	}
	return er
}

// placeOne asks the owners of a few endpoints for a grant, one after the other.
// If the wait at each is longer than predicted, it asks the one with the
// shortest wait again.
func (di *Dispatcher) placeOne(ctx context.Context, rq *Request, rr router.Request, avoid []ml.EndpointID) (*holder.HeldGrant, error) {
	hops := di.Keeper.View().Config.Retries.MaxRefusalHops
	tried := append([]ml.EndpointID{}, avoid...)
	var refusal error
	shortest := target{}
	for hop := range hops {
		tg, found := di.pick(rr, tried)
		if !found {
			break
		}
		tg.last = tg.last || hop == hops-1
		he, err := di.reserve(ctx, rq, rr, tg, hop)
		if err == nil {
			return he, nil
		}
		di.recordEnded(tg.Endpoint.ID)
		if er := ml.AsError("reserve", err); er.Type != ml.ErrBusy {
			refusal = preferredError(refusal, err)
		} else if shortest.Owner == "" || er.RetryAfter < shortest.ownerWait {
			shortest, shortest.ownerWait = tg, er.RetryAfter
		}
		if ctx.Err() != nil {
			return nil, preferredError(refusal, err)
		}
		tried = append(tried, tg.Endpoint.ID)
	}
	if shortest.Owner != "" {
		return di.placeWithAnyWait(ctx, rq, rr, shortest, hops)
	}
	if refusal == nil {
		refusal = &ml.Error{Type: ml.ErrUnavailable, Step: "route", NotRun: true, Err: errors.New("no endpoint in service can take it")}
	}
	return nil, refusal
}

// placeWithAnyWait asks an owner for a grant and accepts any wait.
func (di *Dispatcher) placeWithAnyWait(ctx context.Context, rq *Request, rr router.Request, tg target, index int) (*holder.HeldGrant, error) {
	di.Routes.WithTable(func(ta *router.Table) { ta.RecordOffer(tg.Endpoint.ID, rr) })
	tg.last, tg.maxPredictedWait = true, 0
	he, err := di.reserve(ctx, rq, rr, tg, index)
	if err != nil {
		di.recordEnded(tg.Endpoint.ID)
	}
	return he, err
}

// target is an endpoint to ask for a grant.
type target struct {
	router.Candidate
	maxPredictedWait time.Duration // longer than this, the owner refuses; zero for any wait
	maxGrantWait     time.Duration // a multiple of the predicted wait; not used for the last endpoint
	last             bool          // there is no other endpoint to try
	ownerWait        time.Duration // as predicted by the owner
}

// pick chooses an endpoint and records the request as offered to it.
func (di *Dispatcher) pick(rr router.Request, avoid []ml.EndpointID) (tg target, found bool) {
	now := time.Now()
	di.Routes.WithTable(func(ta *router.Table) {
		ca, ok := ta.Pick(now, rr, avoid)
		if !ok {
			return
		}
		const waitFactor = 3
		tg = target{
			Candidate: *ca, maxPredictedWait: ta.MaxWait(now, rr, ca), maxGrantWait: max(minGrantWait, waitFactor*router.PredictTTFT(now, rr, ca)),
		}
		found = true
		ta.RecordOffer(ca.Endpoint.ID, rr)
		_, more := ta.Pick(now, rr, append(slices.Clone(avoid), ca.Endpoint.ID))
		tg.last = !more
	})
	return tg, found
}

// reserve asks for a grant. For the last endpoint it waits as long as the
// deadline allows, for earlier ones until target.maxGrantWait.
func (di *Dispatcher) reserve(ctx context.Context, rq *Request, rr router.Request, tg target, index int) (*holder.HeldGrant, error) {
	timeLeft := time.Until(rq.Deadline)
	answerTime := time.Duration(min(rq.MaxTokens-rq.Position, maxEstimatedTokens)) * estimatedTokenTime
	grantWait := timeLeft
	if !tg.last {
		grantWait = min(timeLeft, tg.maxGrantWait)
	}
	return di.Holder.Reserve(ctx, tg.Endpoint, tg.Owner, ml.Reservation{
		ID: grantID(rq, index), Endpoint: tg.Endpoint.ID, Holder: di.Self, Team: rq.Team,
		Weight: di.Keeper.View().Config.TeamFor(rq.Team).Weight, Length: rr.Length, Prompt: rr.Prompt,
		Memory: rr.Memory, DeadlineMs: timeLeft.Milliseconds(), MinDurationMs: answerTime.Milliseconds(), GrantTimeoutMs: grantWait.Milliseconds(),
		MaxPredictedWaitMs: tg.maxPredictedWait.Milliseconds(),
	})
}

// preferredError returns the error with the higher rank. a may be nil.
func preferredError(a, b error) error {
	if a == nil || errorRank(b) > errorRank(a) {
		return b
	}
	return a
}

// errorRank ranks refusals. A change of owner ranks highest, since the request
// may be served after it, then a lack of time, then everything else.
func errorRank(err error) int {
	switch ml.TypeOf(err) {
	case ml.ErrEndpointNotFound:
		return 2
	case ml.ErrOverloaded:
		return 1
	default:
		return 0
	}
}
