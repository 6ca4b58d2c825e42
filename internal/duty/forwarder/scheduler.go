package forwarder

import (
	"context"
	"errors"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/decision/diagnoser"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

// isScheduled reports whether a scheduler places the requests of this entry VM, and whether
// that is this one.
func (fo *Forwarder) isScheduled(now time.Time) (isScheduled, isSelf bool) {
	if fo.Scheduler == nil {
		return false, false
	}
	address, isSelf := fo.Scheduler(now)
	return isSelf || address != "", isSelf
}

// OnSchedule implements ml.ScheduleHandler.
func (fo *Forwarder) OnSchedule(ctx context.Context, rq ml.SharedPlacementRequest) ml.SharedPlacement {
	now := time.Now()
	pr := tracker.DecodePlacementRequest(now, &rq)
	spec := fo.serviceSpec(pr.Service)
	if spec == nil || spec.Engine == nil {
		return ml.SharedPlacement{Refusal: "the configuration in force at the scheduler does not describe the service", RetryAfterMs: defaultRetryAfter.Milliseconds()}
	}
	if pr.IsProbe {
		return fo.probe(now, &pr, spec)
	}
	if pr.IsImmediate {
		return fo.placeAskedNow(now, &pr, spec)
	}
	it := fo.queue.renew(now, &pr)
	if it == nil {
		it = newAskedItem(now, &pr, spec)
		if !fo.enqueue(now, it) {
			return sharedPlacement(&decision{err: errTooManyWait})
		}
		fo.Wake()
	}
	ti := time.NewTimer(time.Duration(rq.ReplyWithinMs) * time.Millisecond)
	defer ti.Stop()
	select {
	case de := <-it.result:
		fo.queue.remove(it)
		return sharedPlacement(&de)
	case <-ti.C:
	case <-ctx.Done():
	}
	return ml.SharedPlacement{IsWaiting: true}
}

// newAskedItem returns a request that another entry VM asks this one to place.
func newAskedItem(now time.Time, pr *ml.PlacementRequest, spec *ml.ServiceSpec) *item {
	it := newItem(now, pr.QueuedRequest, spec.Engine, spec.Ranks, pr.Domain)
	it.ask, it.spec, it.askedAt, it.maxIdleWait, it.result = pr, spec, now, pr.MaxIdleWait, make(chan decision, 1)
	it.replaces = pr.Replaces
	if pr.Silence > 0 {
		it.silence = diagnoser.Silence{Since: now.Add(-pr.Silence), Patience: pr.Patience}
	}
	it.exclude(pr)
	return it
}

// schedulesOthers reports whether requests of other entry VMs wait to be placed by this one.
func (fo *Forwarder) schedulesOthers() bool {
	fo.queue.mu.Lock()
	defer fo.queue.mu.Unlock()
	return slices.ContainsFunc(fo.queue.items, func(it *item) bool { return it.ask != nil })
}

// probe returns where a request could be placed at once, without placing it.
func (fo *Forwarder) probe(now time.Time, pr *ml.PlacementRequest, spec *ml.ServiceSpec) ml.SharedPlacement {
	it := newAskedItem(now, pr, spec)
	ro := fo.newRound(now)
	ro.isExact = true
	if fo.couldPlace(ro, it) {
		return ml.SharedPlacement{}
	}
	return ml.SharedPlacement{Refusal: noPlaceNow}
}

// placeAskedNow places a request of another entry VM that does not wait.
func (fo *Forwarder) placeAskedNow(now time.Time, pr *ml.PlacementRequest, spec *ml.ServiceSpec) ml.SharedPlacement {
	pl, stay := fo.placeNow(now, newAskedItem(now, pr, spec))
	if pl != nil {
		return sharedPlacement(&decision{placement: pl})
	}
	return ml.SharedPlacement{Refusal: noPlaceNow, StayMs: stay.Milliseconds()}
}

// noPlaceNow is the refusal of a request that does not wait.
const noPlaceNow = "no engine can go on at once"

// couldPlace reports whether an endpoint could take a request at once.
func (fo *Forwarder) couldPlace(ro *round, it *item) bool {
	candidates, _ := fo.candidatesFor(ro, it, fo.service(ro, it.service))
	it.placerReq.IsExact = ro.isExact
	ch := it.choose(ro.now, candidates)
	return !ch.Refused && !ch.Wait
}

// sharedPlacement returns a decision as it is sent to the entry VM that has asked.
func sharedPlacement(de *decision) ml.SharedPlacement {
	var ue *unplaceableError
	switch {
	case errors.As(de.err, &ue):
		return ml.SharedPlacement{Refusal: ue.reason, RetryAfterMs: ue.retryAfter.Milliseconds(), Usable: ue.usable, Loss: ue.loss}
	case de.err != nil:
		return ml.SharedPlacement{Refusal: de.err.Error(), RetryAfterMs: defaultRetryAfter.Milliseconds()}
	}
	pl := de.placement
	sp := ml.SharedPlacement{
		HelperMemory: pl.helperMemory, FirstEventMs: pl.predictedFirstEvent.Milliseconds(), Loss: pl.loss, Usable: pl.usable, RecentSends: pl.recentSends, IsCold: pl.cold,
	}
	for _, ep := range pl.endpoints() {
		sp.Endpoints = append(sp.Endpoints, ml.EndpointRef{ID: ep.ID, Incarnation: ep.Incarnation})
	}
	return sp
}

// serviceSpec returns what the configuration in force says of a service, or nil.
func (fo *Forwarder) serviceSpec(name ml.ServiceName) *ml.ServiceSpec {
	ma := fo.Catalog.Matcher()
	if ma == nil {
		return nil
	}
	spec, _ := ma.Service(name)
	return spec
}

// OnWithdrawn removes requests that another entry VM no longer asks for.
func (fo *Forwarder) OnWithdrawn(from ml.VMID, ids []ml.FlightID) { fo.queue.withdraw(from, ids) }

// OnReport records how endpoints have dealt with requests that another entry VM has sent
// them, as this entry VM schedules them.
func (fo *Forwarder) OnReport(now time.Time, answered, failed []ml.EndpointID) {
	for _, id := range failed {
		fo.Detector.Record(now, id, "", detector.Failed)
	}
	for _, id := range answered {
		if !slices.Contains(failed, id) {
			fo.Detector.Record(now, id, "", detector.Succeeded)
		}
	}
}
