package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/ranker"
	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
)

const (
	// maxBufferedBytes is the largest response body that is read completely
	// before it is forwarded. A longer body is forwarded while it is read.
	maxBufferedBytes = 512 << 10
	// Prompts below these limits are short, medium and long; longer ones are
	// huge.
	shortPromptLimit, mediumPromptLimit, longPromptLimit ml.Tokens = 24_000, 120_000, 300_000
)

// enginePriorities holds the priority that an engine gets for each prompt
// length. Shorter prompts have a more urgent priority, which is a lower number.
var enginePriorities = [ml.NumLengths]ml.Priority{ml.Short: 2, ml.Medium: 5, ml.Long: 7, ml.Huge: 7}

// Length returns the length class of the prompt.
func (rq *Request) Length() ml.Length {
	switch {
	case rq.Prompt < shortPromptLimit:
		return ml.Short
	case rq.Prompt < mediumPromptLimit:
		return ml.Medium
	case rq.Prompt < longPromptLimit:
		return ml.Long
	}
	return ml.Huge
}

// attempt sends a request to its placement and forwards the response.
func (fo *Forwarder) attempt(ctx context.Context, rq *Request, rs ml.Responder, pl *placement) (ar attemptResult) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := fo.reserveMemory(ctx, rq, pl); err != nil {
		return attemptResult{notRun: true, reason: "no memory for the prompt", err: err}
	}
	defer func() {
		ar.timedOut = isSilence(context.Cause(ctx))
		fo.releaseMemory(pl)
		if ar.timedOut {
			pl.awaitRelease()
		}
	}()
	wd := fo.startWatchdog(ctx, rq, pl, cancel)
	defer wd.end(cancel)
	if len(pl.holds) > 0 {
		go fo.runHoldCheck(ctx, rq, pl, pl.holds, wd, cancel)
	}
	out := rq.outgoing(pl)
	out.OnSent = fo.onSent(pl)
	sent := time.Now()
	fo.Reacher.RecordSend(sent, rq.Service)
	defer fo.Reacher.RecordEnd(rq.Service)
	an, err := fo.exchange(ctx, rq, pl, out)
	if err != nil {
		er := ml.AsError("exchange", err)
		if !er.NotRun {
			out.OnSent() // the endpoint may have received a part of it
		}
		if ctx.Err() == nil {
			fo.Reacher.RecordFailure(time.Now(), rq.Service, pl.lead.ID)
		}
		return attemptResult{notRun: er.NotRun, received: !er.NotRun, reason: failureReason(ctx, er), err: err}
	}
	defer an.Close()
	fo.Reacher.RecordContact(time.Now(), rq.Service, pl.lead.ID)
	fo.recordLimit(time.Now(), pl.lead, an)
	fo.recordPause(time.Now(), rq, pl.lead, an)
	fo.recordDeparture(time.Now(), rq, an)
	out.OnSent() // it may answer before all is written
	switch {
	case an.Misdirected:
		fo.Catalog.MarkAddressReused(pl.lead.ID, pl.lead.Incarnation)
		return attemptResult{notRun: true, received: true, reason: "another endpoint has the address"}
	case an.NotRun:
		return attemptResult{notRun: true, received: true, reason: "the endpoint did not run it, status " + strconv.Itoa(an.Status)}
	case !rq.continuedBy(an):
		return fo.notContinued(rq, an)
	case an.Status/100 == 2 && rq.Route.Kind == ml.RouteStream:
		return fo.forwardStream(ctx, rq, rs, pl, an, wd, sent)
	}
	return fo.forwardBuffered(rq, rs, pl, an)
}

// onSent returns the function that records that a request was written to its first endpoint.
func (fo *Forwarder) onSent(pl *placement) func() {
	id := pl.flights[0]
	return func() { fo.Tracker.RecordSent(time.Now(), id) }
}

// outgoing returns the request as it is sent to an endpoint.
func (rq *Request) outgoing(pl *placement) *ml.OutboundRequest {
	out := rq.Outgoing
	out.Header = rq.Outgoing.Header.Clone()
	out.TimeLeft = time.Until(rq.Deadline)
	out.LastEventID = rq.lastEventID
	out.Priority = ranker.ForEngine(rq.Priority, rq.ranks(), enginePriorities[rq.Length()])
	out.Helpers = pl.helperList()
	return &out
}

// failureReason describes a failed exchange with an endpoint.
func failureReason(ctx context.Context, err error) string {
	switch cause := context.Cause(ctx); {
	case isSilence(cause):
		return cause.Error()
	case cause != nil:
		return "given up"
	}
	return err.Error()
}

// isSilence reports whether an attempt ended since its engine was silent.
func isSilence(cause error) bool {
	return errors.Is(cause, errEventTimeout) || errors.Is(cause, errMemoryUnused)
}

// forwardBuffered reads a response completely and forwards it if it is not
// truncated. One that is too long for that, or for which there is no memory, is
// forwarded while it is read. A server error of the endpoint is returned in the result, and is
// forwarded only if no later attempt succeeds.
func (fo *Forwarder) forwardBuffered(rq *Request, rs ml.Responder, pl *placement, an *ml.Answer) attemptResult {
	if an.Status/100 == 2 && !an.Sealed {
		return attemptResult{received: true, reason: "answer without receipt", err: errNoSeal}
	}
	me := fo.Bytes.Open(string(pl.lead.ID))
	body, err := bounder.ReadAll(an.Body, me, maxBufferedBytes)
	br := &bufferedResponse{status: an.Status, header: an.Header, body: body, message: me}
	ar := fo.forwardBody(rq, rs, an, br, err)
	if ar.errorResponse != br {
		me.Close()
	}
	return ar
}

// forwardBody forwards a body that was read up to its end, or up to what it may hold.
func (fo *Forwarder) forwardBody(rq *Request, rs ml.Responder, an *ml.Answer, br *bufferedResponse, err error) attemptResult {
	isLong := len(br.body) == maxBufferedBytes || errors.Is(err, bounder.ErrFull)
	if err != nil && !isLong {
		return attemptResult{received: true, reason: "answer broke off", err: err}
	}
	if isLong && (an.Status >= http.StatusInternalServerError || impliesNotRun(an.Status)) {
		return attemptResult{received: true, reason: "status " + strconv.Itoa(an.Status) + " with a body too long", err: errEndpointFailure}
	}
	if isLong {
		fo.recordAnswered(rq, an)
		return fo.forwardLong(rq, rs, an, br.body)
	}
	if an.Length >= 0 && an.Length != int64(len(br.body)) {
		return attemptResult{received: true, reason: "answer broke off", err: io.ErrUnexpectedEOF}
	}
	fo.recordAnswered(rq, an)
	switch {
	case impliesNotRun(an.Status):
		return attemptResult{received: true, reason: "status " + strconv.Itoa(an.Status) + " without a promise", err: errEndpointFailure}
	case an.Status >= http.StatusInternalServerError:
		return attemptResult{received: true, reason: "status " + strconv.Itoa(an.Status), err: errEndpointFailure, errorResponse: br}
	}
	return attemptResult{done: true, received: true, reason: fo.sendBuffered(rs, br)}
}

// notContinued returns the result of an attempt to resume a stream that was answered with
// something else.
func (fo *Forwarder) notContinued(rq *Request, an *ml.Answer) attemptResult {
	fo.recordAnswered(rq, an)
	return attemptResult{received: true, reason: "status " + strconv.Itoa(an.Status) + " to a stream that has begun", err: errEndpointFailure}
}

// impliesNotRun reports whether a caller may conclude from a status that the
// request did not run. Such a status is not forwarded from an endpoint that has
// not declared so explicitly.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

var (
	errNoSeal          = errors.New("the response has no seal header")
	errEndpointFailure = errors.New("the endpoint returned an error status")
)

// forwardLong forwards a response that is too long to buffer while it is read.
func (fo *Forwarder) forwardLong(rq *Request, rs ml.Responder, an *ml.Answer, head []byte) attemptResult {
	rq.recordHead(an)
	if err := rs.Begin(an.Status, an.Header, an.Length); err != nil {
		rs.Abort()
		return attemptResult{done: true, received: true, reason: "caller left", err: err}
	}
	part := head
	buffer := make([]byte, 32<<10)
	for {
		if err := rs.Write(part); err != nil {
			rs.Abort()
			return attemptResult{done: true, received: true, reason: "caller left", err: err}
		}
		n, err := an.Body.Read(buffer)
		part = buffer[:n]
		if errors.Is(err, io.EOF) {
			err = rs.Write(part)
			return attemptResult{done: true, received: true, reason: strconv.Itoa(an.Status), err: err}
		}
		if err != nil {
			rs.Abort()
			return attemptResult{done: true, received: true, reason: "answer broke off", err: fmt.Errorf("read response body: %w", err)}
		}
	}
}
