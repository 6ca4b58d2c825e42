package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
)

const (
	// firstMargin and firstFactor tell how much later than predicted the first
	// event may come before an engine counts as silent.
	firstMargin = 900 * time.Millisecond
	firstFactor = 2
	// gapFactor and gapLeast tell after which pause an engine counts as
	// silent.
	gapFactor = 3
	gapLeast  = time.Second
	// patienceLeft is the part of a caller's patience that is taken to be left
	// when an engine counts as silent.
	patienceLeft = 2
)

var (
	// errSilent means that an engine gave no event in time.
	errSilent = errors.New("the engine is silent")
	// errCallerLeft means that the caller no longer reads.
	errCallerLeft = errors.New("the caller has left")
)

// watcher ends an attempt whose next event is long overdue, where the request
// may go on elsewhere. An engine that is only slow is left to finish when
// nothing allows another attempt.
type watcher struct {
	*time.Timer
	gap time.Duration // between events
}

// watch starts the watcher of an attempt, which ends with ctx.
func (fo *Forwarder) watch(ctx context.Context, rq *Request, pl *placement, cancel context.CancelCauseFunc) *watcher {
	wa := &watcher{gap: max(gapFactor*rq.Route.GapTarget, gapLeast)}
	wait := firstFactor*pl.predicted + firstMargin
	movable := rq.movable()
	wa.Timer = time.AfterFunc(wait, func() {
		if ctx.Err() != nil {
			return // it fired as the attempt ended
		}
		if movable && fo.elsewhere(time.Now(), rq, pl.lead.ID) && fo.prepay(rq) {
			cancel(errSilent)
			return
		}
		wa.Reset(wa.gap)
	})
	return wa
}

// elsewhere tells whether another engine could go on with a stream at once,
// before its caller gives up on the pause. A silent engine may only be busy, and
// is better than none.
func (fo *Forwarder) elsewhere(now time.Time, rq *Request, lead ml.EndpointID) bool {
	if rq.Spec == nil || rq.Spec.Engine == nil {
		return true
	}
	left := rq.FirstEventDeadline.Sub(rq.Arrived) / patienceLeft
	ask := placer.Request{
		Profile: rq.Spec.Engine, Prompt: rq.Prompt, Answer: rq.Answer, FirstEventTarget: now.Add(left), FirstEventDeadline: now.Add(left),
		GapTarget: rq.Route.GapTarget, Value: placer.RequestValue(rq.Prompt), Domain: fo.Domain,
	}
	flights := fo.Tracker.Flights(now)
	candidates := []placer.Candidate{}
	for _, li := range fo.Catalog.Usable(now, rq.Service) {
		if li.ID != lead {
			candidates = append(candidates, fo.candidate(now, li, flights[li.ID]))
		}
	}
	ch := placer.Choose(now, &ask, candidates)
	return !ch.Refused && !ch.Wait
}

// prepay takes the budget for one more attempt.
func (fo *Forwarder) prepay(rq *Request) bool {
	if !rq.paid.Load() && fo.budget(rq.Service).AllowRetry() {
		rq.paid.Store(true)
	}
	return rq.paid.Load()
}

// movable tells whether a stream may go on at another endpoint.
func (rq *Request) movable() bool {
	return rq.Route.Kind == ml.RouteStream && rq.Route.Resumable && rq.runs+1 < rq.Route.MaxAttempts
}

// stream passes the events of an answer on as they come.
func (fo *Forwarder) stream(
	ctx context.Context, rq *Request, rs ml.Responder, pl *placement, an *ml.Answer, wa *watcher, sent time.Time,
) end {
	if !an.Sealed {
		return end{arrived: true, reason: "stream without receipt", err: errUnsealed}
	}
	in := bufio.NewReader(an.Body)
	first := true
	for {
		ev, err := readEvent(in)
		if errors.Is(err, io.EOF) {
			return fo.streamEnded(rq, rs, an)
		}
		if err != nil {
			return end{arrived: true, reason: "stream broke off: " + reasonOf(ctx, err), err: err}
		}
		now := time.Now()
		if first {
			fo.first(rq, pl, now.Sub(sent))
			first = false
		}
		fo.Tracker.RecordEvent(now, pl.flights[0])
		wa.Reset(wa.gap)
		if err := fo.passEvent(rq, rs, an, ev); err != nil {
			if errors.Is(err, errCallerLeft) {
				rs.Abort()
				return end{done: true, arrived: true, reason: "caller left"}
			}
			return end{arrived: true, reason: "stream out of order", err: err}
		}
	}
}

// first notes when the first event came, against what was predicted.
func (fo *Forwarder) first(rq *Request, pl *placement, took time.Duration) {
	fo.Metrics.FirstEvent(rq, pl.predicted, took)
	fo.began(pl)
	fo.Log.Info("first event", "request", rq.Outgoing.Attempt, "endpoint", pl.lead.ID, "ms", took.Milliseconds(),
		"predictedMs", pl.predicted.Milliseconds(), "prompt", rq.Prompt, "helpers", pl.helperIDs())
}

// began notes that the prompt has been read: the engines that helped without
// setting memory aside are done.
func (fo *Forwarder) began(pl *placement) {
	for _, id := range pl.flights[1:] {
		if pl.share > 0 {
			fo.Tracker.RecordEvent(time.Now(), id)
			continue
		}
		fo.Tracker.EndFlight(id)
	}
}

// passEvent checks that an event is the next one and passes it on.
func (fo *Forwarder) passEvent(rq *Request, rs ml.Responder, an *ml.Answer, ev event) error {
	if ev.hasID {
		if rq.last > 0 && ev.id <= rq.last {
			return nil // the caller has it already
		}
		if rq.last > 0 && ev.id != rq.last+1 {
			return fmt.Errorf("event %d follows %d", ev.id, rq.last)
		}
	}
	if err := fo.begin(rq, rs, an); err != nil {
		return err
	}
	if err := rs.Write(ev.raw); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	rq.passed(time.Now())
	if ev.hasID {
		rq.last = ev.id
	}
	return nil
}

// passed notes that an event was passed on at now.
func (rq *Request) passed(now time.Time) {
	if rq.events == 0 {
		rq.first = now
	} else {
		rq.pause = max(rq.pause, now.Sub(rq.latest))
	}
	rq.latest = now
	rq.events++
}

// begin sends the head of the answer unless an earlier engine's has gone.
func (fo *Forwarder) begin(rq *Request, rs ml.Responder, an *ml.Answer) error {
	if rq.begun {
		return nil
	}
	if err := rs.Begin(an.Status, an.Header, -1); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	rq.begun = true
	return nil
}

func (fo *Forwarder) streamEnded(rq *Request, rs ml.Responder, an *ml.Answer) end {
	if err := fo.begin(rq, rs, an); err != nil {
		rs.Abort()
		return end{done: true, arrived: true, reason: err.Error()}
	}
	return end{done: true, arrived: true, reason: strconv.Itoa(an.Status)}
}
