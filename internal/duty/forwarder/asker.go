package forwarder

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

const (
	// maxSchedulers bounds how many schedulers are asked to place a request. If none
	// replies, this entry VM places it itself.
	maxSchedulers = 2
	// firstReplyTime is the time within which a scheduler decides, or replies that the
	// request waits. When it is asked again, that time is waitReplyTime.
	firstReplyTime, waitReplyTime = 20 * time.Millisecond, 250 * time.Millisecond
	// replyMargin is the time for a call to the scheduler and back, beyond that until it
	// replies. A scheduler that takes longer has failed, unless this entry VM itself was
	// kept from running for starvedTime or longer: then it asks once more, up to maxStarved
	// times.
	replyMargin, starvedTime, maxStarved = 150 * time.Millisecond, 25 * time.Millisecond, 2
	// maxRejections bounds how many decisions of a scheduler are rejected for one request,
	// since this entry VM must not use their endpoints.
	maxRejections = 3
)

// errSchedulerFailed means that a scheduler did not reply.
var errSchedulerFailed = errors.New("the scheduler does not reply")

// scheduler returns the address of the entry VM that places requests of this one. The second
// result is false if this entry VM places them itself.
func (fo *Forwarder) scheduler(now time.Time) (string, bool) {
	if fo.Scheduler == nil {
		return "", false
	}
	address, isSelf := fo.Scheduler(now)
	return address, address != "" && !isSelf
}

// placeBy has a scheduler decide on a request.
func (fo *Forwarder) placeBy(ctx context.Context, address string, it *item) (*placement, error) {
	within, rejections, starved, excluded := firstReplyTime, 0, 0, []ml.EndpointID{}
	for {
		now := time.Now()
		if fo.mustCarry(now, it.rq) {
			fo.Tracker.RecordWithdrawn(it.id)
			return nil, errPathsLost
		}
		sp, err := fo.ask(ctx, now, address, it, within, excluded)
		if ctx.Err() != nil {
			fo.Tracker.RecordWithdrawn(it.id)
			return nil, context.Cause(ctx)
		}
		if err != nil && time.Since(now) > within+replyMargin+starvedTime && starved < maxStarved {
			starved++
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errSchedulerFailed, err)
		}
		if sp.IsWaiting {
			within = waitReplyTime
			continue
		}
		if sp.Refusal != "" {
			return nil, fo.refusedBy(time.Now(), it, &sp)
		}
		if pl := fo.accept(time.Now(), it, &sp); pl != nil {
			return pl, nil
		}
		fo.Tracker.RecordWithdrawn(it.id)
		if rejections++; rejections > maxRejections {
			return nil, &unplaceableError{reason: "no endpoint that this entry VM may use", retryAfter: defaultRetryAfter}
		}
		for _, ep := range sp.Endpoints {
			excluded = append(excluded, ep.ID)
		}
		it.id, within = fo.newFlightID(), firstReplyTime
	}
}

// ask asks a scheduler to decide on a request within a time.
func (fo *Forwarder) ask(ctx context.Context, now time.Time, address string, it *item, within time.Duration, excluded []ml.EndpointID) (ml.SharedPlacement, error) {
	pr := fo.placementRequest(now, it, excluded)
	pr.MaxIdleWait, pr.IsImmediate, pr.Replaces = it.maxIdleWait, it.isImmediate, it.replaces
	if !it.silence.Since.IsZero() {
		pr.Silence, pr.Patience = now.Sub(it.silence.Since), it.silence.Patience
	}
	sp := tracker.EncodePlacementRequest(now, &pr)
	sp.ReplyWithinMs = within.Milliseconds()
	ctx, cancel := context.WithTimeout(ctx, within+replyMargin)
	defer cancel()
	return fo.Schedulers.Schedule(ctx, address, sp)
}

// placementRequest returns a request as a scheduler is asked for it. Some endpoints are excluded
// besides those that this entry VM must not use.
func (fo *Forwarder) placementRequest(now time.Time, it *item, excluded []ml.EndpointID) ml.PlacementRequest {
	excluded = append(slices.Clone(excluded), it.rq.triedEndpoints...)
	pr := ml.PlacementRequest{QueuedRequest: it.queuedRequest(), From: fo.Self, Domain: fo.Domain, Excluded: slices.Clone(excluded)}
	for _, li := range fo.Catalog.Usable(now, it.rq.Service) {
		switch {
		case slices.Contains(excluded, li.ID):
		case fo.rateReached(now, it.rq, li) || fo.isPaused(now, li.ListedEndpoint) || fo.Detector.Unreachable(now, li.ID, li.Incarnation):
			pr.Excluded = append(pr.Excluded, li.ID)
		default:
			pr.Allowed = append(pr.Allowed, li.ID)
		}
	}
	if len(pr.Allowed) > 0 && len(pr.Allowed) < len(pr.Excluded) {
		pr.Excluded = nil
		return pr
	}
	pr.Allowed = nil
	return pr
}

// refusedBy returns the error for a request that a scheduler has refused.
func (fo *Forwarder) refusedBy(now time.Time, it *item, sp *ml.SharedPlacement) error {
	if left := fo.pauseLeft(now, fo.Catalog.Usable(now, it.service)); left > 0 {
		return &unplaceableError{reason: errAllPaused.Error(), retryAfter: left}
	}
	return &unplaceableError{reason: sp.Refusal, retryAfter: time.Duration(sp.RetryAfterMs) * time.Millisecond, usable: sp.Usable, loss: sp.Loss}
}

// accept returns the placement on which a scheduler has decided, and records its flights. It
// returns nil if this entry VM must not use one of the endpoints now.
func (fo *Forwarder) accept(now time.Time, it *item, sp *ml.SharedPlacement) *placement {
	pl := &placement{
		waited: now.Sub(it.waitingSince), predictedFirstEvent: time.Duration(sp.FirstEventMs) * time.Millisecond, loss: sp.Loss, value: it.placerReq.Value,
		usable: sp.Usable, recentSends: sp.RecentSends, cold: sp.IsCold, helperMemory: sp.HelperMemory,
	}
	fo.choosing.Lock()
	defer fo.choosing.Unlock()
	for i, ref := range sp.Endpoints {
		li, known := fo.Catalog.Lookup(ref.ID, ref.Incarnation)
		if !known || !fo.Catalog.IsUsable(now, ref.ID, ref.Incarnation) || fo.rateReached(now, it.rq, li) || fo.isPaused(now, li.ListedEndpoint) {
			return nil
		}
		if i == 0 {
			pl.lead = li.ListedEndpoint
			continue
		}
		pl.helpers = append(pl.helpers, li.ListedEndpoint)
	}
	if pl.lead.ID == "" {
		return nil
	}
	for _, fl := range newFlights(now, it, pl) {
		pl.flights = append(pl.flights, fl.ID)
		fo.Tracker.AddScheduledFlight(now, fl)
		fo.Detector.RecordSend(now, fl.Endpoint, "")
	}
	return pl
}
