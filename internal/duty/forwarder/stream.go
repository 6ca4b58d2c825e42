package forwarder

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/diagnoser"
	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
)

const (
	// The first event times out after firstEventTimeFactor times the predicted
	// time, plus firstEventMargin.
	firstEventMargin     = 900 * time.Millisecond
	firstEventTimeFactor = 2
	// A later event times out after gapTimeoutFactor times the gap objective, but
	// not before minGapTimeout.
	gapTimeoutFactor = 3
	minGapTimeout    = time.Second
	// maxIdleBytes bounds what an engine may send between two events: comments, blank
	// lines and events that the caller has.
	maxIdleBytes = maxEventBytes
)

var (
	// errEventTimeout means that an engine sent no event in time.
	errEventTimeout = errors.New("the engine is silent")
	// errNoEvent means that a stream ended before its first event, or before the next one
	// without a length or chunks: that is how it looks when the engine's process ends.
	errNoEvent = errors.New("the stream ended without an event")
	// errNoProgress means that an engine sent bytes without an event.
	errNoProgress = errors.New("the engine sends bytes that are no event")
	// errCallerDisconnected means that writing to the caller failed.
	errCallerDisconnected = errors.New("the caller has left")
)

// watchdog cancels an attempt whose next event timed out, if the request has got a place
// at another endpoint. Otherwise the engine may only be slow, so the attempt continues.
type watchdog struct {
	*time.Timer
	gapTimeout time.Duration // time-out between events
	events     atomic.Int64  // that were received
	lastEvent  atomic.Int64  // when the latest one was received, in nanoseconds since the request's arrival
	stay       time.Duration // for which the stream stays at its engine, which is busy
	running    sync.Mutex    // held while it looks for another endpoint
}

// end ends the attempt, and returns when the watchdog does nothing any more.
func (wd *watchdog) end(cancel context.CancelCauseFunc) {
	wd.Stop()
	cancel(nil)
	wd.running.Lock()
	defer wd.running.Unlock()
}

// startWatchdog starts the watchdog of an attempt. It has no effect once ctx has
// ended.
func (fo *Forwarder) startWatchdog(ctx context.Context, rq *Request, pl *placement, cancel context.CancelCauseFunc) *watchdog {
	wd := &watchdog{gapTimeout: max(gapTimeoutFactor*rq.Route.GapTarget, minGapTimeout)}
	wait := firstEventTimeFactor*pl.predictedFirstEvent + firstEventMargin
	resumable := rq.resumable()
	wd.running.Lock()
	defer wd.running.Unlock()
	wd.Timer = time.AfterFunc(wait, func() {
		wd.running.Lock()
		defer wd.running.Unlock()
		if ctx.Err() != nil {
			return // fired while the attempt ended
		}
		wd.stay = 0
		if !resumable || !fo.moveStream(ctx, rq, pl, wd, cancel) {
			wd.Reset(cmp.Or(wd.stay, wd.gapTimeout))
		}
	})
	return wd
}

// silence returns what is known of the silence of a stream's engine. It is zero before the first
// event: until then the time-out follows from the prediction, which knows the work that is ahead.
func (wd *watchdog) silence(rq *Request) diagnoser.Silence {
	if wd.events.Load() == 0 {
		return diagnoser.Silence{}
	}
	since := rq.Arrived.Add(time.Duration(wd.lastEvent.Load()))
	return diagnoser.Silence{Since: since, Patience: rq.FirstEventDeadline.Sub(rq.Arrived)}
}

// resumable reports whether a stream may be resumed at another endpoint.
func (rq *Request) resumable() bool {
	return rq.Route.Kind == ml.RouteStream && rq.Route.Resumable && rq.possibleRuns+1 < rq.maxAttempts()
}

// forwardStream forwards the events of a response as they arrive.
func (fo *Forwarder) forwardStream(
	ctx context.Context, rq *Request, rs ml.Responder, pl *placement, an *ml.Answer, wd *watchdog, sent time.Time,
) attemptResult {
	if !an.Sealed {
		return attemptResult{received: true, reason: "stream without receipt", err: errNoSeal}
	}
	me := fo.Bytes.Open(string(pl.lead.ID))
	defer me.Close()
	in := bufio.NewReader(an.Body)
	for events := 0; ; events++ {
		me.Reset() // the event before has been forwarded
		ev, err := rq.nextEvent(in, me)
		if events == minBegunEvents || events > 0 && errors.Is(err, io.EOF) {
			fo.recordBegun(time.Now(), rq)
		}
		if errors.Is(err, io.EOF) && events == 0 && (an.Unframed || rq.lastEventID == 0 && rq.eventCount == 0) {
			return attemptResult{received: true, reason: "stream broke off: " + errNoEvent.Error(), err: errNoEvent}
		}
		if errors.Is(err, io.EOF) {
			return fo.finishStream(rq, rs, an, ev.raw)
		}
		if err != nil {
			return attemptResult{received: true, events: events, reason: "stream broke off: " + failureReason(ctx, err), err: err}
		}
		now := time.Now()
		fo.Reacher.RecordContact(now, rq.Service, pl.lead.ID)
		if events == 0 {
			fo.recordFirstEvent(rq, pl, now.Sub(sent))
		}
		fo.Tracker.RecordEvent(now, pl.flights[0])
		wd.lastEvent.Store(int64(now.Sub(rq.Arrived)))
		wd.events.Add(1)
		wd.Reset(wd.gapTimeout)
		if err := fo.forwardEvent(rq, rs, an, ev); err != nil {
			if errors.Is(err, errCallerDisconnected) {
				rs.Abort()
				return attemptResult{done: true, received: true, reason: "caller left"}
			}
			return attemptResult{received: true, events: events, reason: "stream out of order", err: err}
		}
	}
}

// recordFirstEvent records the time to the first event and the prediction.
func (fo *Forwarder) recordFirstEvent(rq *Request, pl *placement, took time.Duration) {
	fo.Metrics.FirstEvent(rq, pl.predictedFirstEvent, took)
	fo.updateHelperFlights(pl)
	fo.Log.Info("first event", "request", rq.Outgoing.Attempt, "endpoint", pl.lead.ID, "ms", took.Milliseconds(),
		"predictedMs", pl.predictedFirstEvent.Milliseconds(), "prompt", rq.Prompt, "helpers", pl.helperIDs())
}

// updateHelperFlights updates the helpers' flights once the prompt has been processed.
// Helpers that hold no memory for the prompt are done.
func (fo *Forwarder) updateHelperFlights(pl *placement) {
	for _, id := range pl.flights[1:] {
		if pl.helperMemory > 0 {
			fo.Tracker.RecordEvent(time.Now(), id)
			continue
		}
		fo.Tracker.EndFlight(id)
	}
}

// nextEvent reads the next event that the caller does not have yet. Comments and blank
// lines before it are returned with it, so that they are forwarded only if an event
// follows. At the end of the stream they are returned with io.EOF.
func (rq *Request) nextEvent(in *bufio.Reader, me *bounder.Message) (event, error) {
	idle, idleBytes := []byte{}, 0
	for {
		ev, err := readEvent(in, me)
		switch {
		case errors.Is(err, io.EOF):
			return event{raw: idle}, err
		case err != nil:
			return ev, err
		case rq.advances(ev):
			ev.raw = append(idle, ev.raw...)
			return ev, nil
		}
		if idleBytes += len(ev.raw); idleBytes > maxIdleBytes {
			return ev, errNoProgress
		}
		if !ev.hasID {
			idle = append(idle, ev.raw...)
		}
	}
}

// advances reports whether the caller does not have an event yet.
func (rq *Request) advances(ev event) bool {
	if !ev.hasID {
		return ev.hasData
	}
	return ev.id > rq.lastEventID || rq.eventCount == 0 && rq.lastEventID == 0
}

// forwardEvent checks that an event is the next one and forwards it.
func (fo *Forwarder) forwardEvent(rq *Request, rs ml.Responder, an *ml.Answer, ev event) error {
	if ev.hasID && rq.lastEventID > 0 && ev.id != rq.lastEventID+1 {
		return fmt.Errorf("event %d received after event %d", ev.id, rq.lastEventID)
	}
	if err := fo.sendHead(rq, rs, an); err != nil {
		return err
	}
	if err := rs.Write(ev.raw); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	rq.recordEvent(time.Now())
	if ev.hasID {
		rq.lastEventID = ev.id
	}
	return nil
}

// recordEvent records that an event was forwarded at now.
func (rq *Request) recordEvent(now time.Time) {
	if rq.eventCount == 0 {
		rq.firstEventAt = now
	} else {
		rq.longestGap = max(rq.longestGap, now.Sub(rq.lastEventAt))
	}
	rq.lastEventAt = now
	rq.eventCount++
}

// sendHead sends the response's status and header unless an earlier attempt has
// sent them.
func (fo *Forwarder) sendHead(rq *Request, rs ml.Responder, an *ml.Answer) error {
	if rq.headSent {
		return nil
	}
	if err := rs.Begin(an.Status, an.Header, -1); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	rq.recordHead(an)
	return nil
}

// recordHead records that the head of an answer was sent to the caller.
func (rq *Request) recordHead(an *ml.Answer) {
	rq.headSent, rq.headStatus, rq.headType = true, an.Status, mediaType(an.Header)
}

// continuedBy reports whether an answer may be forwarded after what the caller has: it is
// the first one, or another part of the same stream.
func (rq *Request) continuedBy(an *ml.Answer) bool {
	return !rq.headSent || rq.Route.Kind == ml.RouteStream && an.Status == rq.headStatus && mediaType(an.Header) == rq.headType
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(he http.Header) string {
	name, _, _ := strings.Cut(he.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// finishStream ends the response with the bytes after the last event.
func (fo *Forwarder) finishStream(rq *Request, rs ml.Responder, an *ml.Answer, rest []byte) attemptResult {
	err := fo.sendHead(rq, rs, an)
	if err == nil && len(rest) > 0 {
		err = rs.Write(rest)
	}
	if err != nil {
		rs.Abort()
		return attemptResult{done: true, received: true, reason: err.Error()}
	}
	return attemptResult{done: true, received: true, reason: strconv.Itoa(an.Status)}
}
