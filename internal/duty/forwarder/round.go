package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/apportioner"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
	"github.com/mulberrylever/mulberrylever/internal/decision/ranker"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

const (
	// reevaluateInterval bounds the time between two evaluations of the queue.
	reevaluateInterval = 20 * time.Millisecond
	// evaluationShare is the largest part of the time that is spent on evaluations of the
	// queue while requests wait: the rest is left to those that are under way.
	evaluationShare = 0.5
	// gatherDelay is how long requests of other entry VMs gather before the queue is
	// evaluated.
	gatherDelay = 2 * time.Millisecond
	// peerPlacementTimeout is how long a slot is left free for a peer's request
	// that could be placed. With a longer propagation delay, placements of peers
	// can't be predicted.
	peerPlacementTimeout = 30 * time.Millisecond
)

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
		if fo.schedulesOthers() {
			pacer.Sleep(ctx, gatherDelay)
		}
		now := time.Now()
		fo.schedule(now)
		if !fo.queue.isEmpty() {
			ti.Reset(reevaluateInterval)
			pacer.Sleep(ctx, time.Duration(float64(time.Since(now))*(1/evaluationShare-1)))
		}
	}
}

// schedule decides on each waiting request in order of urgency. Where entry VMs tell each
// other of all requests, those that wait at other entry VMs are included: their placement
// is only simulated, so that a freed slot is not taken by all entry VMs at once. A peer's
// request that is still not placed after peerPlacementTimeout is skipped, since the peer
// has other information or has stopped.
func (fo *Forwarder) schedule(now time.Time) {
	fo.deciding.Lock()
	defer fo.deciding.Unlock()
	items, abandoned := fo.queue.snapshot(now)
	for _, it := range abandoned {
		fo.Tracker.EndPeerFlights(it.ask.From, it.id)
	}
	if len(items) == 0 {
		return
	}
	ro := fo.newRound(now)
	isScheduled, isSelf := fo.isScheduled(now)
	switch {
	case isScheduled:
		ro.isExact = isSelf
		fo.scheduleAll(ro, items)
	case fo.propagationDelay() > peerPlacementTimeout:
		fo.scheduleWithStalePeers(ro, items)
	default:
		fo.scheduleWithPeers(ro, items)
	}
}

// scheduleAll decides on the waiting requests of all entry VMs, which are in the queue.
func (fo *Forwarder) scheduleAll(ro *round, items []*item) {
	fo.shareAmongTeams(ro, items)
	sortByUrgency(items, ro.now)
	for _, it := range items {
		if de, decided := fo.decide(ro, it); decided {
			fo.deliver(it, de)
		}
	}
}

// scheduleWithPeers decides on the waiting requests of this entry VM, and simulates the
// placement of those of its peers.
func (fo *Forwarder) scheduleWithPeers(ro *round, items []*item) {
	items = append(items, fo.peerItems(ro.now, items)...)
	fo.shareAmongTeams(ro, items)
	sortByUrgency(items, ro.now)
	unseen := fo.expectedUnseen(ro.now, ro.flights)
	placeable := make(map[ml.FlightID]time.Time)
	for _, it := range items {
		since, known := fo.peerPlaceableSince[it.id]
		if known && ro.now.Sub(since) > peerPlacementTimeout {
			placeable[it.id] = since
			continue
		}
		it.placerReq.UnseenRequests = unseen
		de, decided := fo.decide(ro, it)
		switch {
		case it.isSimulated() && decided:
			placeable[it.id] = ro.now
			if known {
				placeable[it.id] = since
			}
		case it.isSimulated():
		case decided:
			fo.deliver(it, de)
		default:
			fo.shareWaiting(ro.now, it)
		}
	}
	fo.peerPlaceableSince = placeable
}

// shareWaiting sends a waiting request to the other entry VMs, once.
func (fo *Forwarder) shareWaiting(now time.Time, it *item) {
	if it.shared || it.rq == nil {
		return
	}
	it.shared = true
	fo.Tracker.AddWaiting(now, it.queuedRequest())
	fo.NotifyPeers()
}

// peerItems returns the requests that wait at other entry VMs for the same service
// as the first of the items.
func (fo *Forwarder) peerItems(now time.Time, items []*item) []*item {
	first := items[0]
	out := []*item{}
	for _, qr := range fo.Tracker.WaitingAtPeers(now) {
		if qr.Service == first.service {
			out = append(out, newItem(now, qr, first.placerReq.Profile, first.ranks, ""))
		}
	}
	return out
}

// newItem returns a request of another entry VM as an item.
func newItem(now time.Time, qr ml.QueuedRequest, profile *ml.EngineProfile, ranks ml.RankRange, domain ml.DomainID) *item {
	pr := placer.Request{
		Profile: profile, Prompt: qr.Prompt, Answer: qr.Answer, FirstEventTarget: qr.FirstEventTarget,
		FirstEventDeadline: qr.FirstEventDeadline, GapTarget: qr.GapTarget, Value: qr.Value, Domain: domain,
	}
	it := &item{id: qr.ID, service: qr.Service, placerReq: pr, waitingSince: now, sortKey: qr.SortKey, latestStart: pr.LatestStart(), team: qr.Team, weight: qr.Weight}
	it.setRank(qr.Priority, ranks)
	return it
}

// queuedRequest returns the item in the form that is sent to other entry VMs.
func (it *item) queuedRequest() ml.QueuedRequest {
	return ml.QueuedRequest{
		ID: it.id, Service: it.service, Prompt: it.placerReq.Prompt, Answer: it.placerReq.Answer,
		FirstEventTarget: it.placerReq.FirstEventTarget, FirstEventDeadline: it.placerReq.FirstEventDeadline,
		GapTarget: it.placerReq.GapTarget, Value: it.placerReq.Value, SortKey: it.sortKey, Priority: &it.priority, Weight: it.weight, Team: it.team,
	}
}

// round is one evaluation of the queue.
type round struct {
	now      time.Time
	flights  map[ml.EndpointID][]ml.Flight
	services map[ml.ServiceName]*roundService
	isExact  bool // all requests at the engines are in flights
}

// roundService holds the usable endpoints of one service, and what is known of them.
type roundService struct {
	listings   []cataloger.Listing
	candidates []placer.Candidate
}

func (fo *Forwarder) newRound(now time.Time) *round {
	return &round{now: now, flights: fo.Tracker.Flights(now), services: make(map[ml.ServiceName]*roundService)}
}

// service returns the endpoints of a service.
func (fo *Forwarder) service(ro *round, name ml.ServiceName) *roundService {
	if rs := ro.services[name]; rs != nil {
		return rs
	}
	rs := &roundService{listings: fo.Catalog.Usable(ro.now, name)}
	for _, li := range rs.listings {
		rs.candidates = append(rs.candidates, fo.candidate(ro.now, li, ro.flights[li.ID]))
	}
	ro.services[name] = rs
	return rs
}

// candidatesFor returns the endpoints from which a request's is chosen, and their indexes in
// listings. What is predicted of an endpoint is predicted once in a round, and only if some
// request may go there.
func (fo *Forwarder) candidatesFor(ro *round, it *item, rs *roundService) ([]placer.Candidate, []int) {
	candidates, indexes := make([]placer.Candidate, 0, len(rs.candidates)), make([]int, 0, len(rs.candidates))
	for i := range rs.candidates {
		if it.isExcluded(rs.listings[i].ID) {
			continue
		}
		if rs.candidates[i].State == nil {
			es := forecaster.Predict(ro.now, rs.candidates[i].Flights)
			rs.candidates[i].State = &es
		}
		ca := rs.candidates[i]
		if it.replaces != "" {
			ca = withoutRequest(ca, it.replaces)
		}
		ca.Blocked = ca.Blocked || fo.mayNotUse(ro.now, it, rs.listings[i])
		candidates, indexes = append(candidates, ca), append(indexes, i)
	}
	return candidates, indexes
}

// withoutRequest returns a candidate without the flights of a request.
func withoutRequest(ca placer.Candidate, request ml.FlightID) placer.Candidate {
	isOfRequest := func(fl ml.Flight) bool { return fl.ID.Request() == request }
	if slices.ContainsFunc(ca.Flights, isOfRequest) {
		ca.Flights, ca.State = slices.DeleteFunc(slices.Clone(ca.Flights), isOfRequest), nil
	}
	return ca
}

// needKey names what a need of engines depends on.
type needKey struct {
	service ml.ServiceName
	gap     time.Duration // objective for pauses of the answers that are kept away
}

// spareEngines returns the share of the cost of a fresh engine that a request need not pay. It is 0
// where the operators rank no kind of request above others. The caller must hold fo.deciding.
func (fo *Forwarder) spareEngines(ro *round, it *item, rs *roundService) float64 {
	if !it.ranks.RoutesDiffer() {
		return 0
	}
	lo, key := apportioner.Load{}, needKey{it.service, it.placerReq.GapTarget}
	for i := range rs.candidates {
		lo.Add(rs.candidates[i].Flights, key.gap, placer.MaxPause(key.gap))
	}
	if fo.needs == nil {
		fo.needs = make(map[needKey]*apportioner.Need)
	}
	if fo.needs[key] == nil {
		fo.needs[key] = &apportioner.Need{}
	}
	return lo.Spare(fo.needs[key].Update(ro.now, lo.Long))
}

// addFlight records a flight that was decided on in this round.
func (ro *round) addFlight(name ml.ServiceName, fl ml.Flight) {
	ro.flights[fl.Endpoint] = append(ro.flights[fl.Endpoint], fl)
	rs := ro.services[name]
	for i := range rs.candidates {
		if rs.candidates[i].Endpoint.ID == fl.Endpoint {
			rs.candidates[i].Flights, rs.candidates[i].State = ro.flights[fl.Endpoint], nil
		}
	}
}

// decide places one waiting request, refuses it, or leaves it waiting.
func (fo *Forwarder) decide(ro *round, it *item) (decision, bool) {
	now := ro.now
	if it.rq != nil && fo.mustCarry(now, it.rq) {
		return decision{err: errPathsLost}, true
	}
	rs := fo.service(ro, it.service)
	candidates, indexes := fo.candidatesFor(ro, it, rs)
	it.placerReq.IsExact, it.placerReq.SpareEngines = ro.isExact, fo.spareEngines(ro, it, rs)
	ch := it.choose(now, candidates)
	if it.rq != nil && ch.Refused && ch.Available == 0 {
		if left := fo.pauseLeft(now, rs.listings); left > 0 {
			return decision{err: &unplaceableError{reason: errAllPaused.Error(), retryAfter: left}}, true
		}
	}
	switch {
	case it.isSimulated() && ch.Refused:
		return decision{}, false
	case ch.Refused && ch.Available == 0 && now.Sub(it.waitingSince) < it.maxIdleWait:
		return decision{}, false
	case ch.Refused:
		return decision{err: &unplaceableError{reason: "no engine can answer in time", retryAfter: ch.RetryAfter, usable: ch.Available, loss: ch.Loss}}, true
	case ch.Wait, it.outranked:
		return decision{}, false
	}
	pl := &placement{
		lead: candidates[ch.Lead].Endpoint, waited: now.Sub(it.waitingSince), predictedFirstEvent: ch.FirstEventAt.Sub(now),
		loss: ch.Loss, value: it.placerReq.Value, usable: ch.Available, cold: rs.listings[indexes[ch.Lead]].ColdUntil.After(now),
	}
	pl.recentSends = fo.Tracker.RecentSends(now, pl.lead.ID)
	pl.helperMemory = ch.HelperMemory
	for _, i := range ch.Helpers {
		pl.helpers = append(pl.helpers, candidates[i].Endpoint)
	}
	fo.recordFlights(ro, it, pl)
	return decision{placement: pl}, true
}

// choose decides where a waiting request goes by the rank to which it has moved up. One that is
// refused by its rank, but would not be as it moves up further, waits.
func (it *item) choose(now time.Time, candidates []placer.Candidate) placer.Choice {
	it.placerReq.Weight = ranker.AgedWeight(now, it.waitingSince, it.weight)
	ch := placer.Choose(now, &it.placerReq, candidates)
	if !ch.Refused || it.placerReq.Weight == 1 {
		return ch
	}
	it.placerReq.Weight = 1
	if placer.Choose(now, &it.placerReq, candidates).Refused {
		return ch
	}
	ch.Wait, ch.Refused = true, false
	return ch
}

// mayNotUse reports whether an endpoint must not get a waiting request although it may get
// others.
func (fo *Forwarder) mayNotUse(now time.Time, it *item, li cataloger.Listing) bool {
	switch {
	case it.rq != nil:
		return fo.rateReached(now, it.rq, li) || slices.Contains(it.rq.triedEndpoints, li.ID)
	case it.ask != nil:
		return it.spec.ColdRate > 0 && fo.knownRateReached(now, it.spec, li)
	}
	return false
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

// recordFlights adds the flights of a placement to those of the round and, unless the
// placement is only simulated, to the tracker.
func (fo *Forwarder) recordFlights(ro *round, it *item, pl *placement) {
	for _, fl := range newFlights(ro.now, it, pl) {
		pl.flights = append(pl.flights, fl.ID)
		ro.addFlight(it.service, fl)
		switch {
		case it.rq != nil:
			fo.Tracker.AddFlight(ro.now, fl)
		case it.ask != nil:
			fl.Scheduled = true
			fo.Tracker.AddPeerFlight(ro.now, it.ask.From, fl)
		}
	}
	if !it.isSimulated() {
		for _, ep := range pl.endpoints() {
			fo.Detector.RecordSend(ro.now, ep.ID, ep.Incarnation)
		}
	}
}

// endpoints returns the endpoint that generates the answer, then the helpers.
func (pl *placement) endpoints() []ml.ListedEndpoint {
	return append([]ml.ListedEndpoint{pl.lead}, pl.helpers...)
}

// newFlights returns the flights of a placement at now.
func newFlights(now time.Time, it *item, pl *placement) []ml.Flight {
	profile := it.placerReq.Profile
	parts := 1 + len(pl.helpers)
	base := ml.Flight{
		SentAt: now, PrefillTime: forecaster.PrefillTime(profile, it.placerReq.Prompt, parts),
		DecodeTime:       forecaster.DecodeTime(profile, it.placerReq.Prompt, it.placerReq.Answer),
		FirstEventTarget: it.placerReq.FirstEventTarget, FirstEventDeadline: it.placerReq.FirstEventDeadline,
		GapTarget: it.placerReq.GapTarget, Value: it.placerReq.Value, Team: it.team, Weight: it.weight,
	}
	out := make([]ml.Flight, 0, parts)
	for i, ep := range pl.endpoints() {
		fl := base
		fl.Reserved = it.isImmediate
		fl.ID, fl.Endpoint, fl.Partial, fl.Helper = it.id.Flight(i), ep.ID, parts > 1, i > 0
		fl.Memory = pl.helperMemory
		if i == 0 {
			fl.Memory = it.placerReq.Prompt + it.placerReq.Answer - pl.helperMemory*ml.Tokens(len(pl.helpers))
		}
		out = append(out, fl)
	}
	return out
}
