package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
)

const (
	// decodeTimeFactor multiplies the predicted decode time when the
	// latest start before the deadline is computed.
	decodeTimeFactor = 1.5
	// noEndpointWaitDivisor divides a request's objective to give the time that
	// it waits while no endpoint can take it.
	noEndpointWaitDivisor = 8
)

// unplaceableError means that a request can't be served in time.
type unplaceableError struct {
	reason     string
	retryAfter time.Duration
	usable     int       // endpoints that could take the request
	loss       float64   // predicted loss at the best of them; 0 if there was none
	part       ml.PartID // the part of the prompt for which it is refused; empty for other reasons
}

// Error implements the error interface.
func (ue *unplaceableError) Error() string { return ue.reason }

// placement holds the endpoints chosen for a request.
type placement struct {
	lead                ml.ListedEndpoint
	helpers             []ml.ListedEndpoint
	flights             []ml.FlightID // of the lead, then of the helpers
	waited              time.Duration
	predictedFirstEvent time.Duration // until the first event
	loss                float64
	value               float64
	usable              int       // endpoints that could take the request
	running             int       // requests at the lead before this one, of a plain service
	recentSends         int       // requests known to have been sent to the lead in the last second
	cold                bool      // the lead was known to be cold
	helperMemory        ml.Tokens // memory needed at each helper; 0 if the lead holds the whole prompt
	holds               []memoryHold
	reservedAt          time.Time // when all holds were there

	stopRenewal context.CancelFunc
	releasing   sync.WaitGroup // orders that release holds
}

// place finds an endpoint for a request, and waits until one can take it.
func (fo *Forwarder) place(ctx context.Context, rq *Request) (*placement, error) {
	if rq.Route.Kind != ml.RouteStream || rq.Spec == nil || rq.Spec.Engine == nil {
		return fo.placeService(ctx, rq)
	}
	it := fo.newOwnItem(time.Now(), rq)
	for range maxSchedulers {
		address, found := fo.scheduler(time.Now())
		if !found {
			break
		}
		pl, err := fo.placeBy(ctx, address, it)
		if !errors.Is(err, errSchedulerFailed) {
			return pl, err
		}
		fo.SchedulerFailed(address, err)
	}
	return fo.placeHere(ctx, it)
}

// newOwnItem returns a request of this entry VM that is to be placed.
func (fo *Forwarder) newOwnItem(now time.Time, rq *Request) *item {
	return fo.newItemFor(now, rq, rq.placerRequest(fo.Domain))
}

// newItemFor returns a request of this entry VM as an item with a placer's input.
func (fo *Forwarder) newItemFor(now time.Time, rq *Request, pr placer.Request) *item {
	it := &item{
		id: fo.newFlightID(), rq: rq, service: rq.Service, placerReq: pr, waitingSince: now, result: make(chan decision, 1),
		latestStart: pr.LatestStart(), maxIdleWait: rq.Route.Target / noEndpointWaitDivisor, team: rq.Outgoing.Team, weight: rq.Weight,
	}
	it.setRank(&rq.Priority, rq.ranks())
	it.sortKey = fo.StartedAt.UnixMilli() + it.latestStart.Sub(fo.StartedAt).Milliseconds() // unaffected by changes of the wall clock
	return it
}

// ranks returns the ranks that the requests for the same service may have.
func (rq *Request) ranks() ml.RankRange {
	if rq.Spec == nil {
		return ml.RankRange{}
	}
	return rq.Spec.Ranks
}

// setRank sets the rank of a request. One that does not say its rank goes among the highest.
func (it *item) setRank(pr *ml.Priority, rr ml.RankRange) {
	it.ranks, it.priority = rr, rr.Highest
	if pr != nil {
		it.priority = min(max(*pr, rr.Highest), rr.Lowest)
	}
}

// placeHere has this entry VM decide on a request.
func (fo *Forwarder) placeHere(ctx context.Context, it *item) (*placement, error) {
	if !fo.enqueue(time.Now(), it) {
		return nil, errTooManyWait
	}
	fo.Wake()
	select {
	case de := <-it.result:
		return de.placement, de.err
	case <-ctx.Done():
		fo.withdraw(it, it.result)
		return nil, context.Cause(ctx)
	}
}

// errTooManyWait is the refusal of a request for which there is no place in the queue.
var errTooManyWait = &unplaceableError{reason: "too many requests wait", retryAfter: defaultRetryAfter}

// enqueue adds a request to the queue, and refuses the one that leaves a full queue for it. It
// reports false if there is no place for the request itself.
func (fo *Forwarder) enqueue(now time.Time, it *item) bool {
	left, added := fo.queue.add(now, it)
	if left != nil {
		fo.Log.Info("left the queue", "id", left.id, "rank", left.priority, "for", it.id, "forRank", it.priority)
		fo.Tracker.RemoveWaiting(left.id)
		left.result <- decision{err: errTooManyWait}
	}
	return added
}

// withdraw removes a request from the queue after its caller has disconnected. If
// it was placed concurrently, its flights are ended.
func (fo *Forwarder) withdraw(it *item, result <-chan decision) {
	if fo.queue.remove(it) {
		fo.Tracker.RemoveWaiting(it.id)
		return
	}
	if de := <-result; de.placement != nil {
		fo.endFlights(de.placement)
	}
}

// deliver sends the decision to a waiting request. If the request was withdrawn
// concurrently, the flights of its placement are ended.
func (fo *Forwarder) deliver(it *item, de decision) {
	if it.ask != nil && fo.queue.settle(it) || it.ask == nil && fo.queue.remove(it) {
		fo.Tracker.RemoveWaiting(it.id)
		it.result <- de
		return
	}
	switch {
	case de.placement == nil:
	case it.ask != nil:
		fo.Tracker.EndPeerFlights(it.ask.From, it.id)
	default:
		fo.endFlights(de.placement)
	}
}

// placerRequest returns the request as the placer's input. A stream that has
// already sent events to the caller is in time if its next event comes before the
// caller stops waiting.
func (rq *Request) placerRequest(domain ml.DomainID) placer.Request {
	pr := rq.newPlacerRequest(domain, rq.FirstEventTarget, rq.FirstEventDeadline)
	if rq.headSent {
		nextEventDeadline := rq.lastEventAt.Add(rq.FirstEventDeadline.Sub(rq.Arrived))
		if nextEventDeadline.After(rq.Deadline) {
			nextEventDeadline = rq.Deadline
		}
		pr.FirstEventTarget, pr.FirstEventDeadline = nextEventDeadline, nextEventDeadline
		return pr
	}
	maxDecodeTime := time.Duration(decodeTimeFactor * float64(forecaster.DecodeTime(pr.Profile, pr.Prompt, pr.Answer)))
	if latest := rq.Deadline.Add(-maxDecodeTime); latest.Before(pr.FirstEventDeadline) {
		pr.FirstEventDeadline = latest
	}
	return pr
}

// newPlacerRequest returns the request as the placer's input, with times for its first event.
func (rq *Request) newPlacerRequest(domain ml.DomainID, target, deadline time.Time) placer.Request {
	return placer.Request{
		Profile: rq.Spec.Engine, Prompt: rq.Prompt, Answer: rq.Answer, FirstEventTarget: target, FirstEventDeadline: deadline,
		GapTarget: rq.Route.GapTarget, Value: placer.RequestValue(rq.Prompt), Domain: domain,
	}
}

// endFlights ends the flights of a placement.
func (fo *Forwarder) endFlights(pl *placement) {
	for _, id := range pl.flights {
		fo.Tracker.EndFlight(id)
	}
}
