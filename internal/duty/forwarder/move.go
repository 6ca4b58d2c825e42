package forwarder

import (
	"context"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/diagnoser"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// remainingWaitDivisor divides the time that a caller waits for a first event, to
	// estimate how much of it remains when an engine times out.
	remainingWaitDivisor = 2
	// rivalNewsTime, and twice the propagation delay, is the time after which this entry VM
	// has heard of places that others have reserved at the same moment.
	rivalNewsTime = 40 * time.Millisecond
)

// moveStream takes a stream away from its silent engine, which may only be busy, if it has got a
// place at another one. It reports false if the stream stays: there is no place, another stream
// has got it, or the engine has sent an event meanwhile. A look at the engines alone would promise
// one free place to all streams of the silent engine, whose time-outs end at the same moment.
func (fo *Forwarder) moveStream(ctx context.Context, rq *Request, from *placement, wd *watchdog, cancel context.CancelCauseFunc) bool {
	events := wd.events.Load()
	if fo.mustCarry(time.Now(), rq) {
		return fo.leave(rq, cancel) // the engine is out of reach
	}
	pl, stay := fo.reservePlace(ctx, time.Now(), rq, from, wd.silence(rq))
	if pl == nil {
		fo.Log.Info("stays", "request", rq.Outgoing.Attempt, "endpoint", from.lead.ID, "events", events, "busyMs", stay.Milliseconds())
		wd.stay = stay
		return false
	}
	if !fo.keepsPlace(ctx, rq, pl) || wd.events.Load() != events || ctx.Err() != nil || !rq.reserved.CompareAndSwap(nil, pl) {
		fo.endFlights(pl)
		return false
	}
	if fo.leave(rq, cancel) {
		return true
	}
	fo.releasePlace(rq)
	return false
}

// leave cancels the attempt of a stream at its engine, if the retry budget allows another one.
func (fo *Forwarder) leave(rq *Request, cancel context.CancelCauseFunc) bool {
	if !fo.prepayRetry(rq) {
		return false
	}
	cancel(errEventTimeout)
	return true
}

// reservePlace places a stream at an endpoint other than the one where it is, if one can take it at
// once and before its caller stops waiting. The flights of its present attempt don't count, since
// they end as it moves. Without a place, the second result is how long it stays since its engine is
// busy, or 0.
func (fo *Forwarder) reservePlace(ctx context.Context, now time.Time, rq *Request, from *placement, si diagnoser.Silence) (*placement, time.Duration) {
	lead := from.lead.ID
	if rq.Spec == nil || rq.Spec.Engine == nil {
		return fo.chooseService(now, rq, false, lead), 0
	}
	it := fo.newItemFor(now, rq, rq.moveRequest(now, fo.Domain))
	it.isImmediate, it.maxIdleWait, it.replaces, it.silence = true, 0, from.flights[0].Request(), si
	it.exclude(&ml.PlacementRequest{Excluded: []ml.EndpointID{lead}})
	if address, found := fo.scheduler(now); found {
		return fo.reserveAt(ctx, now, address, it, lead)
	}
	return fo.placeNow(now, it)
}

// moveRequest returns a stream that is to move as the placer's input: its next event is due while
// its caller still waits. It reads nothing that changes while the attempt lasts.
func (rq *Request) moveRequest(now time.Time, domain ml.DomainID) placer.Request {
	due := now.Add(rq.FirstEventDeadline.Sub(rq.Arrived) / remainingWaitDivisor)
	return rq.newPlacerRequest(domain, due, due)
}

// placeNow decides on a request without letting it wait, while no other decision is made. It
// returns nil if no endpoint can take the request at once, or if the engine that it leaves is only
// busy, and then for how long.
func (fo *Forwarder) placeNow(now time.Time, it *item) (*placement, time.Duration) {
	fo.deciding.Lock()
	defer fo.deciding.Unlock()
	ro := fo.newRound(now)
	_, ro.isExact = fo.isScheduled(now)
	if stay := ro.stayFor(it); stay > 0 {
		return nil, stay
	}
	if !fo.couldPlace(ro, it) {
		return nil, 0
	}
	de, _ := fo.decide(ro, it)
	return de.placement, 0
}

// stayFor returns how long a silent stream stays at its engine, by what is known to be under way
// there.
func (ro *round) stayFor(it *item) time.Duration {
	if it.silence.Since.IsZero() {
		return 0
	}
	own := it.replaces.Flight(0)
	for _, flights := range ro.flights {
		at := slices.IndexFunc(flights, func(fl ml.Flight) bool { return fl.ID == own })
		if at >= 0 {
			return it.silence.StayFor(ro.now, slices.Delete(slices.Clone(flights), at, at+1))
		}
	}
	return 0
}

// reserveAt asks a scheduler for a place at an engine other than the lead. Without one, the second
// result is how long the stream stays, as in reservePlace.
func (fo *Forwarder) reserveAt(ctx context.Context, now time.Time, address string, it *item, lead ml.EndpointID) (*placement, time.Duration) {
	sp, err := fo.ask(ctx, now, address, it, firstReplyTime, []ml.EndpointID{lead})
	if err == nil && sp.Refusal != "" {
		return nil, time.Duration(sp.StayMs) * time.Millisecond
	}
	if err == nil && !sp.IsWaiting {
		if pl := fo.accept(time.Now(), it, &sp); pl != nil {
			return pl, 0
		}
	}
	fo.Tracker.RecordWithdrawn(it.id)
	return nil, 0
}

// keepsPlace reports whether a place is this entry VM's own after all have heard of it. Where each
// entry VM decides by what the others have told it, several may reserve the same place at the same
// moment: then the one with the lowest id keeps it.
func (fo *Forwarder) keepsPlace(ctx context.Context, rq *Request, pl *placement) bool {
	isScheduled, _ := fo.isScheduled(time.Now())
	if isScheduled || rq.Spec == nil || rq.Spec.Engine == nil || fo.Tracker.LivePeers(time.Now()) == 0 {
		return true
	}
	fo.NotifyPeers()
	newsTime := rivalNewsTime + 2*fo.propagationDelay()
	pacer.Sleep(ctx, newsTime)
	now := time.Now()
	return fo.hasRoom(now, rq, pl, now.Add(-2*newsTime))
}

// hasRoom reports whether there is room for a request at the engine where it has reserved a place,
// beside all others that are there. Places that were reserved since a time with higher ids don't
// count: these have to give way.
func (fo *Forwarder) hasRoom(now time.Time, rq *Request, pl *placement, since time.Time) bool {
	own := pl.flights[0]
	others := []ml.Flight{}
	for _, fl := range fo.Tracker.Flights(now)[pl.lead.ID] {
		givesWay := fl.Reserved && fl.SentAt.After(since) && fl.ID > own
		if fl.ID != own && !givesWay {
			others = append(others, fl)
		}
	}
	pr := rq.moveRequest(now, fo.Domain)
	ch := placer.Choose(now, &pr, []placer.Candidate{{Endpoint: pl.lead, Flights: others}})
	return !ch.Refused && !ch.Wait
}

// releasePlace gives back the place that is reserved for a request, if there is one.
func (fo *Forwarder) releasePlace(rq *Request) {
	if pl := rq.reserved.Swap(nil); pl != nil {
		fo.endFlights(pl)
	}
}
