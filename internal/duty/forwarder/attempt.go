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
)

const (
	// maxKept bounds an answer that is read whole before it is passed on, in
	// bytes. A longer one is passed on while it comes.
	maxKept = 512 << 10
	// shortPrompt, mediumPrompt and longPrompt are the upper bounds of lengths.
	shortPrompt, mediumPrompt, longPrompt ml.Tokens = 24_000, 120_000, 300_000
)

// priorities are the priorities at engines by length: the shorter goes first.
var priorities = [ml.NumLengths]ml.Priority{ml.Short: 2, ml.Medium: 5, ml.Long: 7, ml.Huge: 7}

// Length returns the length of the prompt.
func (rq *Request) Length() ml.Length {
	switch {
	case rq.Prompt < shortPrompt:
		return ml.Short
	case rq.Prompt < mediumPrompt:
		return ml.Medium
	case rq.Prompt < longPrompt:
		return ml.Long
	}
	return ml.Huge
}

// attempt sends a request to where it was placed and passes the answer on.
func (fo *Forwarder) attempt(ctx context.Context, rq *Request, rs ml.Responder, pl *placement) end {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := fo.setAside(ctx, rq, pl); err != nil {
		return end{notRun: true, reason: "no memory for the prompt", err: err}
	}
	defer fo.giveBack(pl)
	wa := fo.watch(ctx, rq, pl, cancel)
	defer wa.Stop()
	out := rq.outgoing(pl)
	sent := time.Now()
	an, err := fo.Exchanger.Exchange(ctx, pl.lead, out)
	if err != nil {
		er := ml.AsError("exchange", err)
		return end{notRun: er.NotRun, arrived: !er.NotRun, reason: reasonOf(ctx, er), err: err}
	}
	defer an.Close()
	switch {
	case an.Misdirected:
		fo.Catalog.MarkAddressReused(pl.lead.ID, pl.lead.Incarnation)
		return end{notRun: true, arrived: true, reason: "another endpoint has the address"}
	case an.NotRun:
		return end{notRun: true, arrived: true, reason: "the endpoint did not run it, status " + strconv.Itoa(an.Status)}
	case an.Status/100 == 2 && rq.Route.Kind == ml.RouteStream:
		return fo.stream(ctx, rq, rs, pl, an, wa, sent)
	}
	return fo.whole(rq, rs, an)
}

// outgoing returns the request as it goes to an endpoint.
func (rq *Request) outgoing(pl *placement) *ml.OutboundRequest {
	out := rq.Outgoing
	out.Header = rq.Outgoing.Header.Clone()
	out.TimeLeft = time.Until(rq.Deadline)
	out.LastEventID = rq.last
	out.Priority = priorities[rq.Length()]
	out.Helpers = pl.helperList()
	return &out
}

// reasonOf names an error of an exchange.
func reasonOf(ctx context.Context, err error) string {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		return cause.Error()
	case cause != nil:
		return "given up"
	}
	return err.Error()
}

// whole reads an answer to its end and passes it on when it is whole. Failures
// of the endpoint are kept, in case that nothing better comes.
func (fo *Forwarder) whole(rq *Request, rs ml.Responder, an *ml.Answer) end {
	if an.Status/100 == 2 && !an.Sealed {
		return end{arrived: true, reason: "answer without receipt", err: errUnsealed}
	}
	body, err := io.ReadAll(io.LimitReader(an.Body, maxKept))
	if err != nil {
		return end{arrived: true, reason: "answer broke off", err: err}
	}
	if len(body) == maxKept {
		return fo.passLong(rq, rs, an, body)
	}
	if an.Length >= 0 && an.Length != int64(len(body)) {
		return end{arrived: true, reason: "answer broke off", err: io.ErrUnexpectedEOF}
	}
	ke := &kept{status: an.Status, header: an.Header, body: body}
	switch {
	case an.Status >= http.StatusInternalServerError && rq.begun:
		return end{arrived: true, reason: "status " + strconv.Itoa(an.Status), err: errFailure}
	case promises(an.Status):
		return end{arrived: true, reason: "status " + strconv.Itoa(an.Status) + " without a promise", err: errFailure}
	case an.Status >= http.StatusInternalServerError:
		return end{arrived: true, reason: "status " + strconv.Itoa(an.Status), err: errFailure, answer: ke}
	}
	return end{done: true, arrived: true, reason: fo.passKept(rs, ke)}
}

// promises tells whether a status promises that nothing has run. An endpoint
// that does not state so itself must not be passed on with it.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

var (
	errUnsealed = errors.New("the answer bears no receipt")
	errFailure  = errors.New("the endpoint answered with a failure")
)

// passLong passes a long answer on while it comes.
func (fo *Forwarder) passLong(rq *Request, rs ml.Responder, an *ml.Answer, head []byte) end {
	rq.begun = true
	if err := rs.Begin(an.Status, an.Header, an.Length); err != nil {
		rs.Abort()
		return end{done: true, arrived: true, reason: "caller left", err: err}
	}
	part := head
	buffer := make([]byte, 32<<10)
	for {
		if err := rs.Write(part); err != nil {
			rs.Abort()
			return end{done: true, arrived: true, reason: "caller left", err: err}
		}
		n, err := an.Body.Read(buffer)
		part = buffer[:n]
		if errors.Is(err, io.EOF) {
			err = rs.Write(part)
			return end{done: true, arrived: true, reason: strconv.Itoa(an.Status), err: err}
		}
		if err != nil {
			rs.Abort()
			return end{done: true, arrived: true, reason: "answer broke off", err: fmt.Errorf("read a long answer: %w", err)}
		}
	}
}
