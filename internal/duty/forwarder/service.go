package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
)

// placeService finds an endpoint of a plain service. While there is none, it waits
// for a part of the objective. Then one that has run the request and failed may get it again:
// when all others are lost, one that fails some requests is better than none.
func (fo *Forwarder) placeService(ctx context.Context, rq *Request) (*placement, error) {
	start := time.Now()
	for {
		now := time.Now()
		if fo.mustCarry(now, rq) {
			return nil, errPathsLost
		}
		hasWaited := now.Sub(start) >= rq.Route.Target/noEndpointWaitDivisor
		if pl := fo.chooseService(now, rq, hasWaited && rq.possibleRuns > 0, ""); pl != nil {
			pl.waited = now.Sub(start)
			return pl, nil
		}
		if left := fo.pauseLeft(now, fo.Catalog.Usable(now, rq.Service)); left > 0 {
			return nil, &unplaceableError{reason: errAllPaused.Error(), retryAfter: left}
		}
		if hasWaited {
			return nil, &unplaceableError{reason: "no endpoint of the service can be used", retryAfter: defaultRetryAfter}
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(reevaluateInterval):
		}
	}
}

// chooseService places a request of a plain service, if it can be placed now. Endpoints that
// were tried before are left out unless mayRepeat is set, and one that is excluded, if any.
func (fo *Forwarder) chooseService(now time.Time, rq *Request, mayRepeat bool, excluded ml.EndpointID) *placement {
	fo.choosing.Lock()
	defer fo.choosing.Unlock()
	candidates := fo.serviceCandidates(now, rq, mayRepeat, excluded)
	at := placer.ChooseService(fo.Domain, candidates, rand.Float64())
	if at < 0 {
		return nil
	}
	ep := candidates[at].Endpoint
	isScheduled, _ := fo.isScheduled(now)
	pl := &placement{lead: ep, usable: len(candidates), running: candidates[at].Running, recentSends: fo.Tracker.RecentSends(now, ep.ID)}
	fl := ml.Flight{ID: fo.newFlightID(), Endpoint: ep.ID, SentAt: now, FirstEventTarget: rq.FirstEventTarget, Unreported: isScheduled}
	fo.Tracker.AddFlight(now, fl)
	fo.Detector.RecordSend(now, ep.ID, ep.Incarnation)
	pl.flights = []ml.FlightID{fl.ID}
	return pl
}

// serviceCandidates returns the endpoints from which that of a plain call is chosen.
func (fo *Forwarder) serviceCandidates(now time.Time, rq *Request, mayRepeat bool, excluded ml.EndpointID) []placer.ServiceCandidate {
	flights := fo.Tracker.Flights(now)
	candidates := []placer.ServiceCandidate{}
	for _, li := range fo.Catalog.Usable(now, rq.Service) {
		ca := fo.candidate(now, li, flights[li.ID])
		ca.Blocked = ca.Blocked || li.ID == excluded || fo.rateReached(now, rq, li) || !mayRepeat && slices.Contains(rq.triedEndpoints, li.ID)
		candidates = append(candidates, placer.ServiceCandidate{
			Endpoint: ca.Endpoint, Running: len(ca.Flights), FailureRate: ca.FailureRate, Blocked: ca.Blocked,
		})
	}
	return candidates
}
