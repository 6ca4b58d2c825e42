package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

const (
	// reevaluateInterval bounds the time between two evaluations of the queue.
	reevaluateInterval = 20 * time.Millisecond
	// peerPlacementTimeout is how long a slot is left free for a peer's request
	// that could be placed. With a longer propagation delay, placements of peers
	// can't be predicted.
	peerPlacementTimeout = 30 * time.Millisecond
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
	recentSends         int       // requests known to have been sent to the lead in the last second
	cold                bool      // the lead was known to be cold
	helperMemory        ml.Tokens // memory needed at each helper; 0 if the lead holds the whole prompt
	holds               []memoryHold

	stopRenewal context.CancelFunc
}

// place finds an endpoint for a request, and waits until one can take it.
func (fo *Forwarder) place(ctx context.Context, rq *Request) (*placement, error) {
	if rq.Route.Kind != ml.RouteStream || rq.Spec == nil || rq.Spec.Engine == nil {
		return fo.placeService(ctx, rq)
	}
	now := time.Now()
	result := make(chan decision, 1)
	pr := rq.placerRequest(fo.Domain)
	it := &item{
		id: fo.newFlightID(), rq: rq, service: rq.Service, placerReq: pr, waitingSince: now, result: result,
		latestStart: pr.LatestStart(),
	}
	it.rank = fo.StartedAt.UnixMilli() + it.latestStart.Sub(fo.StartedAt).Milliseconds() // unaffected by changes of the wall clock
	if !fo.queue.add(it) {
		return nil, &unplaceableError{reason: "too many requests wait", retryAfter: defaultRetryAfter}
	}
	fo.Wake()
	select {
	case de := <-result:
		return de.placement, de.err
	case <-ctx.Done():
		fo.withdraw(it, result)
		return nil, context.Cause(ctx)
	}
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
	if fo.queue.remove(it) {
		fo.Tracker.RemoveWaiting(it.id)
		it.result <- de
		return
	}
	if de.placement != nil {
		fo.endFlights(de.placement)
	}
}

// placerRequest returns the request as the placer's input. A stream that has
// already sent events to the caller is in time if its next event comes before the
// caller stops waiting.
func (rq *Request) placerRequest(domain ml.DomainID) placer.Request {
	pr := placer.Request{
		Profile: rq.Spec.Engine, Prompt: rq.Prompt, Answer: rq.Answer,
		FirstEventTarget: rq.FirstEventTarget, FirstEventDeadline: rq.FirstEventDeadline,
		GapTarget: rq.Route.GapTarget, Value: placer.RequestValue(rq.Prompt), Domain: domain,
	}
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

// endFlights ends the flights of a placement.
func (fo *Forwarder) endFlights(pl *placement) {
	for _, id := range pl.flights {
		fo.Tracker.EndFlight(id)
	}
}

// Run evaluates the queue on each change, and at reevaluateInterval while requests
// wait.
func (fo *Forwarder) Run(ctx context.Context) error {
	signal := fo.queue.wakeChannel()
	ti := time.NewTimer(reevaluateInterval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signal:
		case <-ti.C:
		}
		now := time.Now()
		fo.schedule(now)
		if fo.QueueLength() > 0 {
			ti.Reset(reevaluateInterval)
		}
	}
}

// schedule decides on each waiting request in order of urgency. Requests that wait
// at other entry VMs are included: their placement is only simulated, so that a
// freed slot is not taken by all entry VMs at once. A peer's request that is still
// not placed after peerPlacementTimeout is skipped, since the peer has other
// information or has stopped.
func (fo *Forwarder) schedule(now time.Time) {
	items := fo.queue.snapshot()
	if len(items) == 0 {
		return
	}
	flights := fo.Tracker.Flights(now)
	if fo.propagationDelay() > peerPlacementTimeout {
		fo.scheduleWithStalePeers(now, items, flights)
		return
	}
	items = append(items, fo.peerItems(now, items[0].rq)...)
	sortByUrgency(items, now)
	unseen := fo.expectedUnseen(now, flights)
	placeable := make(map[ml.FlightID]time.Time)
	for _, it := range items {
		since, known := fo.peerPlaceableSince[it.id]
		if known && now.Sub(since) > peerPlacementTimeout {
			placeable[it.id] = since
			continue
		}
		it.placerReq.UnseenRequests = unseen
		listings := fo.Catalog.Usable(now, it.service)
		de, decided := fo.decide(now, it, listings, flights)
		switch {
		case it.rq == nil && decided:
			placeable[it.id] = now
			if known {
				placeable[it.id] = since
			}
		case it.rq == nil:
		case decided:
			fo.deliver(it, de)
		default:
			fo.shareWaiting(now, it)
		}
	}
	fo.peerPlaceableSince = placeable
}

// shareWaiting sends a waiting request to the other entry VMs, once.
func (fo *Forwarder) shareWaiting(now time.Time, it *item) {
	if it.shared {
		return
	}
	it.shared = true
	fo.Tracker.AddWaiting(now, it.queuedRequest())
	fo.NotifyPeers()
}

// peerItems returns the requests that wait at other entry VMs for the same service
// as rq.
func (fo *Forwarder) peerItems(now time.Time, rq *Request) []*item {
	out := []*item{}
	for _, qr := range fo.Tracker.WaitingAtPeers(now) {
		if qr.Service != rq.Service {
			continue
		}
		pr := placer.Request{
			Profile: rq.Spec.Engine, Prompt: qr.Prompt, Answer: qr.Answer, FirstEventTarget: qr.FirstEventTarget,
			FirstEventDeadline: qr.FirstEventDeadline, GapTarget: qr.GapTarget, Value: qr.Value,
		}
		out = append(out, &item{
			id: qr.ID, service: qr.Service, placerReq: pr, waitingSince: now, rank: qr.Rank, latestStart: pr.LatestStart(),
		})
	}
	return out
}

// queuedRequest returns the item in the form that is sent to other entry VMs.
func (it *item) queuedRequest() ml.QueuedRequest {
	return ml.QueuedRequest{
		ID: it.id, Service: it.service, Prompt: it.placerReq.Prompt, Answer: it.placerReq.Answer,
		FirstEventTarget: it.placerReq.FirstEventTarget, FirstEventDeadline: it.placerReq.FirstEventDeadline,
		GapTarget: it.placerReq.GapTarget, Value: it.placerReq.Value, Rank: it.rank,
	}
}

// decide places one waiting request, refuses it, or leaves it waiting.
func (fo *Forwarder) decide(now time.Time, it *item, listings []cataloger.Listing, flights map[ml.EndpointID][]ml.Flight) (decision, bool) {
	if it.rq != nil && fo.mustCarry(now, it.rq) {
		return decision{err: errPathsLost}, true
	}
	candidates := make([]placer.Candidate, 0, len(listings))
	for _, li := range listings {
		ca := fo.candidate(now, li, flights[li.ID])
		ca.Blocked = ca.Blocked || it.rq != nil && (fo.rateReached(now, it.rq, li) || slices.Contains(it.rq.triedEndpoints, li.ID))
		candidates = append(candidates, ca)
	}
	ch := placer.Choose(now, &it.placerReq, candidates)
	if it.rq != nil && ch.Refused && ch.Available == 0 {
		if left := fo.pauseLeft(now, listings); left > 0 {
			return decision{err: &unplaceableError{reason: errAllPaused.Error(), retryAfter: left}}, true
		}
	}
	switch {
	case it.rq == nil && ch.Refused:
		return decision{}, false
	case ch.Refused && ch.Available == 0 && now.Sub(it.waitingSince) < it.rq.Route.Target/noEndpointWaitDivisor:
		return decision{}, false
	case ch.Refused:
		return decision{err: &unplaceableError{reason: "no engine can answer in time", retryAfter: ch.RetryAfter, usable: ch.Available, loss: ch.Loss}}, true
	case ch.Wait, it.outranked:
		return decision{}, false
	}
	pl := &placement{
		lead: candidates[ch.Lead].Endpoint, waited: now.Sub(it.waitingSince), predictedFirstEvent: ch.FirstEventAt.Sub(now),
		loss: ch.Loss, value: it.placerReq.Value, usable: ch.Available, cold: listings[ch.Lead].ColdUntil.After(now),
	}
	pl.recentSends = fo.Tracker.RecentSends(now, pl.lead.ID)
	pl.helperMemory = ch.HelperMemory
	for _, i := range ch.Helpers {
		pl.helpers = append(pl.helpers, candidates[i].Endpoint)
	}
	fo.recordFlights(now, it, pl, flights)
	return decision{placement: pl}, true
}

// candidate returns a listed endpoint as the placer's input.
func (fo *Forwarder) candidate(now time.Time, li cataloger.Listing, flights []ml.Flight) placer.Candidate {
	ca := placer.Candidate{
		Endpoint: li.ListedEndpoint, Flights: flights,
		FailureRate: fo.Detector.FailureRate(now, li.ID, li.Incarnation),
		TieBreak:    xxhash.Sum64String(string(fo.Self) + " " + string(li.ID)),
	}
	ca.Blocked = fo.Detector.Blocked(now, li.ID, li.Incarnation, len(flights)) || fo.isPaused(now, li.ListedEndpoint)
	return ca
}

// recordFlights adds the flights of a placement to flights and, for a request of
// this entry VM, to the tracker.
func (fo *Forwarder) recordFlights(now time.Time, it *item, pl *placement, flights map[ml.EndpointID][]ml.Flight) {
	profile := it.placerReq.Profile
	parts := 1 + len(pl.helpers)
	base := ml.Flight{
		SentAt: now, PrefillTime: forecaster.PrefillTime(profile, it.placerReq.Prompt, parts),
		DecodeTime:       forecaster.DecodeTime(profile, it.placerReq.Prompt, it.placerReq.Answer),
		FirstEventTarget: it.placerReq.FirstEventTarget, FirstEventDeadline: it.placerReq.FirstEventDeadline,
		GapTarget: it.placerReq.GapTarget, Value: it.placerReq.Value,
	}
	for i, ep := range append([]ml.ListedEndpoint{pl.lead}, pl.helpers...) {
		fl := base
		fl.ID, fl.Endpoint, fl.Partial, fl.Helper = fo.newFlightID(), ep.ID, parts > 1, i > 0
		fl.Memory = pl.helperMemory
		if i == 0 {
			fl.Memory = it.placerReq.Prompt + it.placerReq.Answer - pl.helperMemory*ml.Tokens(len(pl.helpers))
		}
		pl.flights = append(pl.flights, fl.ID)
		flights[ep.ID] = append(flights[ep.ID], fl)
		if it.rq == nil {
			continue
		}
		fo.Tracker.AddFlight(now, fl)
		fo.Detector.RecordSend(now, ep.ID, ep.Incarnation)
	}
}
