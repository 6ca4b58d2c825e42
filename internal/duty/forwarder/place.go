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
	// lookAgain is the longest time between two looks at waiting requests.
	lookAgain = 20 * time.Millisecond
	// believePeer is how long a place is left to a request of another entry VM.
	believePeer = 30 * time.Millisecond
	// writeMargin is how much longer than predicted an answer may take before
	// its deadline.
	writeMargin = 1.5
	// holdShare is the part of its objective for which a request waits while
	// no endpoint is known at all.
	holdShare = 8
)

// lostError tells that a request can't be served in time.
type lostError struct {
	why   string
	retry time.Duration
	seen  int     // endpoints that could take it
	loss  float64 // that the best of them would cost; 0 when none was found
}

// Error implements the error interface.
func (le *lostError) Error() string { return le.why }

// placement is where a request goes.
type placement struct {
	lead      ml.ListedEndpoint
	helpers   []ml.ListedEndpoint
	flights   []ml.FlightID // the lead's first
	waited    time.Duration
	predicted time.Duration // until the first event
	loss      float64
	worth     float64
	seen      int
	share     ml.Tokens // memory needed at each helper; 0 when the lead holds all
	tickets   []ticket

	stopTickets context.CancelFunc
}

// place finds an endpoint for a request, and waits until it should be sent.
func (fo *Forwarder) place(ctx context.Context, rq *Request) (*placement, error) {
	if rq.Route.Kind != ml.RouteStream || rq.Spec == nil || rq.Spec.Engine == nil {
		return fo.placeService(ctx, rq)
	}
	now := time.Now()
	result := make(chan outcome, 1)
	ask := rq.ask(fo.Domain)
	it := &item{
		id: fo.flightID(), rq: rq, service: rq.Service, ask: ask, since: now, result: result,
		urgency: ask.LatestStart(),
	}
	it.order = fo.StartedAt.UnixMilli() + it.urgency.Sub(fo.StartedAt).Milliseconds() // no jump of the time of day changes it
	if !fo.queue.add(it) {
		return nil, &lostError{why: "too many requests wait", retry: defaultRetry}
	}
	fo.Wake()
	select {
	case ou := <-result:
		return ou.placement, ou.err
	case <-ctx.Done():
		fo.withdraw(it, result)
		return nil, context.Cause(ctx)
	}
}

// withdraw ends the waiting of a request whose caller has left. It may have been
// placed at the same moment.
func (fo *Forwarder) withdraw(it *item, result <-chan outcome) {
	if fo.queue.remove(it) {
		fo.Tracker.RemoveWaiting(it.id)
		return
	}
	if ou := <-result; ou.placement != nil {
		fo.leave(ou.placement)
	}
}

// deliver gives a waiting request what was decided. One that has been withdrawn
// meanwhile gives its place back.
func (fo *Forwarder) deliver(it *item, ou outcome) {
	if fo.queue.remove(it) {
		fo.Tracker.RemoveWaiting(it.id)
		it.result <- ou
		return
	}
	if ou.placement != nil {
		fo.leave(ou.placement)
	}
}

// ask returns what the placer has to know of a request. A stream that has begun
// goes on in time when its next event comes before the caller gives up on the
// pause.
func (rq *Request) ask(domain ml.DomainID) placer.Request {
	ask := placer.Request{
		Profile: rq.Spec.Engine, Prompt: rq.Prompt, Answer: rq.Answer, FirstEventTarget: rq.FirstEventTarget, FirstEventDeadline: rq.FirstEventDeadline,
		GapTarget: rq.Route.GapTarget, Value: placer.RequestValue(rq.Prompt), Domain: domain,
	}
	if rq.begun {
		next := rq.latest.Add(rq.FirstEventDeadline.Sub(rq.Arrived))
		if next.After(rq.Deadline) {
			next = rq.Deadline
		}
		ask.FirstEventTarget, ask.FirstEventDeadline = next, next
		return ask
	}
	writing := time.Duration(writeMargin * float64(forecaster.DecodeTime(ask.Profile, ask.Prompt, ask.Answer)))
	if last := rq.Deadline.Add(-writing); last.Before(ask.FirstEventDeadline) {
		ask.FirstEventDeadline = last
	}
	return ask
}

// leave ends the flights of a placement.
func (fo *Forwarder) leave(pl *placement) {
	for _, id := range pl.flights {
		fo.Tracker.EndFlight(id)
	}
}

// Run looks at the waiting requests whenever something has changed.
func (fo *Forwarder) Run(ctx context.Context) error {
	signal := fo.queue.channel()
	ti := time.NewTimer(lookAgain)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signal:
		case <-ti.C:
		}
		now := time.Now()
		fo.look(now)
		if fo.QueueLength() > 0 {
			ti.Reset(lookAgain)
		}
	}
}

// look decides on each waiting request in turn. The requests that wait at other
// entry VMs have their turn too, so that when a place becomes free not all
// entry VMs take it: theirs are placed in thought only. One that its own entry
// VM still has not placed after a while is passed over: that one sees it
// differently, or is gone.
func (fo *Forwarder) look(now time.Time) {
	items := fo.queue.all()
	if len(items) == 0 {
		return
	}
	flights := fo.Tracker.Flights(now)
	if fo.lag() > believePeer {
		fo.lookCrowded(now, items, flights)
		return
	}
	items = append(items, fo.peersItems(now, items[0].rq)...)
	sortItems(items, now)
	unseen := fo.unseen(now, flights)
	placeable := make(map[ml.FlightID]time.Time)
	for _, it := range items {
		since, known := fo.placeable[it.id]
		if known && now.Sub(since) > believePeer {
			placeable[it.id] = since
			continue
		}
		it.ask.UnseenRequests = unseen
		listings := fo.Catalog.Usable(now, it.service)
		ou, decided := fo.decide(now, it, listings, flights)
		switch {
		case it.rq == nil && decided:
			placeable[it.id] = now
			if known {
				placeable[it.id] = since
			}
		case it.rq == nil:
		case decided:
			fo.deliver(it, ou)
		default:
			fo.tellWaiting(now, it)
		}
	}
	fo.placeable = placeable
}

// tellWaiting tells the other entry VMs once that a request waits.
func (fo *Forwarder) tellWaiting(now time.Time, it *item) {
	if it.told {
		return
	}
	it.told = true
	fo.Tracker.AddWaiting(now, it.waiting())
	fo.NotifyPeers()
}

// peersItems returns the requests that wait at other entry VMs for the service
// of a request of our own.
func (fo *Forwarder) peersItems(now time.Time, rq *Request) []*item {
	out := []*item{}
	for _, wa := range fo.Tracker.WaitingAtPeers(now) {
		if wa.Service != rq.Service {
			continue
		}
		ask := placer.Request{
			Profile: rq.Spec.Engine, Prompt: wa.Prompt, Answer: wa.Answer, FirstEventTarget: wa.FirstEventTarget, FirstEventDeadline: wa.FirstEventDeadline, GapTarget: wa.GapTarget, Value: wa.Value,
		}
		out = append(out, &item{
			id: wa.ID, service: wa.Service, ask: ask, since: now, order: wa.Rank, urgency: ask.LatestStart(),
		})
	}
	return out
}

// waiting returns the item as it is told to other entry VMs.
func (it *item) waiting() ml.QueuedRequest {
	return ml.QueuedRequest{
		ID: it.id, Service: it.service, Prompt: it.ask.Prompt, Answer: it.ask.Answer, FirstEventTarget: it.ask.FirstEventTarget, FirstEventDeadline: it.ask.FirstEventDeadline,
		GapTarget: it.ask.GapTarget, Value: it.ask.Value, Rank: it.order,
	}
}

// decide places one waiting request, refuses it, or leaves it waiting.
func (fo *Forwarder) decide(now time.Time, it *item, listings []cataloger.Listing, flights map[ml.EndpointID][]ml.Flight) (outcome, bool) {
	candidates := make([]placer.Candidate, 0, len(listings))
	for _, li := range listings {
		ca := fo.candidate(now, li, flights[li.ID])
		ca.Blocked = ca.Blocked || it.rq != nil && (fo.full(now, it.rq, li, it.ask.UnseenRequests) || slices.Contains(it.rq.seen, li.ID))
		candidates = append(candidates, ca)
	}
	ch := placer.Choose(now, &it.ask, candidates)
	switch {
	case it.rq == nil && ch.Refused:
		return outcome{}, false
	case ch.Refused && ch.Available == 0 && now.Sub(it.since) < it.rq.Route.Target/holdShare:
		return outcome{}, false
	case ch.Refused:
		return outcome{err: &lostError{why: "no engine can answer in time", retry: ch.RetryAfter, seen: ch.Available, loss: ch.Loss}}, true
	case ch.Wait, it.held:
		return outcome{}, false
	}
	pl := &placement{
		lead: candidates[ch.Lead].Endpoint, waited: now.Sub(it.since), predicted: ch.FirstEventAt.Sub(now),
		loss: ch.Loss, worth: it.ask.Value, seen: ch.Available,
	}
	pl.share = ch.HelperMemory
	for _, at := range ch.Helpers {
		pl.helpers = append(pl.helpers, candidates[at].Endpoint)
	}
	fo.take(now, it, pl, flights)
	return outcome{placement: pl}, true
}

// candidate tells what is known of an endpoint that may take a request.
func (fo *Forwarder) candidate(now time.Time, li cataloger.Listing, flights []ml.Flight) placer.Candidate {
	ca := placer.Candidate{
		Endpoint: li.ListedEndpoint, Flights: flights,
		FailureRate: fo.Detector.FailureRate(now, li.ID, li.Incarnation),
		TieBreak:    xxhash.Sum64String(string(fo.Self) + " " + string(li.ID)),
	}
	ca.Blocked = fo.Detector.Blocked(now, li.ID, li.Incarnation, len(flights))
	return ca
}

// full tells whether an endpoint that may be cold has had what it can carry, with
// room for what others have sent it that is not seen yet. A part of its rate is
// always used, so that a fleet whose engines are all cold is served.
func (fo *Forwarder) full(now time.Time, rq *Request, li cataloger.Listing, unseen float64) bool {
	const always = 1.0 / 3
	if rq.Spec == nil || rq.Spec.ColdRate <= 0 {
		return false
	}
	limit := max(rq.Spec.ColdRate-unseen, always*rq.Spec.ColdRate)
	return float64(fo.Tracker.RecentSends(now, li.ID)) >= limit
}

// take records the flights of a placement.
func (fo *Forwarder) take(now time.Time, it *item, pl *placement, flights map[ml.EndpointID][]ml.Flight) {
	fi := it.ask.Profile
	parts := 1 + len(pl.helpers)
	base := ml.Flight{
		SentAt: now, PrefillTime: forecaster.PrefillTime(fi, it.ask.Prompt, parts), DecodeTime: forecaster.DecodeTime(fi, it.ask.Prompt, it.ask.Answer),
		FirstEventTarget: it.ask.FirstEventTarget, FirstEventDeadline: it.ask.FirstEventDeadline, GapTarget: it.ask.GapTarget, Value: it.ask.Value,
	}
	for i, ep := range append([]ml.ListedEndpoint{pl.lead}, pl.helpers...) {
		fl := base
		fl.ID, fl.Endpoint, fl.Partial, fl.Helper = fo.flightID(), ep.ID, parts > 1, i > 0
		fl.Memory = pl.share
		if i == 0 {
			fl.Memory = it.ask.Prompt + it.ask.Answer - pl.share*ml.Tokens(len(pl.helpers))
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
