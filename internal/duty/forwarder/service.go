package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
)

// placeService finds an endpoint of a plain service, at once or within a part
// of the objective.
func (fo *Forwarder) placeService(ctx context.Context, rq *Request) (*placement, error) {
	began := time.Now()
	for {
		now := time.Now()
		if pl := fo.chooseService(now, rq); pl != nil {
			pl.waited = now.Sub(began)
			return pl, nil
		}
		if now.Sub(began) >= rq.Route.Target/holdShare {
			return nil, &lostError{why: "no endpoint of the service can be used", retry: defaultRetry}
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(lookAgain):
		}
	}
}

func (fo *Forwarder) chooseService(now time.Time, rq *Request) *placement {
	flights := fo.Tracker.Flights(now)
	unseen := fo.unseen(now, flights)
	candidates := []placer.ServiceCandidate{}
	for _, li := range fo.Catalog.Usable(now, rq.Service) {
		ca := fo.candidate(now, li, flights[li.ID])
		ca.Blocked = ca.Blocked || fo.full(now, rq, li, unseen) || slices.Contains(rq.seen, li.ID)
		candidates = append(candidates, placer.ServiceCandidate{
			Endpoint: ca.Endpoint, Running: len(ca.Flights), FailureRate: ca.FailureRate, Blocked: ca.Blocked,
		})
	}
	at := placer.ChooseService(fo.Domain, candidates, rand.Float64())
	if at < 0 {
		return nil
	}
	ep := candidates[at].Endpoint
	fl := ml.Flight{ID: fo.flightID(), Endpoint: ep.ID, SentAt: now, FirstEventTarget: rq.FirstEventTarget}
	fo.Tracker.AddFlight(now, fl)
	fo.Detector.RecordSend(now, ep.ID, ep.Incarnation)
	return &placement{lead: ep, flights: []ml.FlightID{fl.ID}, seen: len(candidates)}
}
