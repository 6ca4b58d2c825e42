// Package forwarder takes a caller's request to an endpoint and the endpoint's
// answer back, and decides what follows when that fails.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/budgeter"
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

const (
	// maxSends bounds how often one request is sent, also when none of them
	// ran.
	maxSends = 4
	// leastLeft is the time below which another attempt is of no use.
	leastLeft = 30 * time.Millisecond
)

// Request is one request of a caller.
type Request struct {
	Outgoing           ml.OutboundRequest
	Route              *ml.Route
	Service            ml.ServiceName
	Spec               *ml.ServiceSpec // nil when the configuration does not describe it
	Prompt             ml.Tokens
	Answer             ml.Tokens // expected
	Arrived            time.Time
	FirstEventTarget   time.Time // objective for the answer or a stream's first event
	FirstEventDeadline time.Time // the caller waits no longer for that
	Deadline           time.Time // the final answer is due

	sends  int  // requests that have gone out
	runs   int  // of these, what may have run
	begun  bool // the head of an answer has gone to the caller
	last   ml.EventID
	events int
	first  time.Time       // when the first event was passed on
	latest time.Time       // when the latest one was
	pause  time.Duration   // the longest between two events
	paid   atomic.Bool     // the budget for the next attempt has been taken
	seen   []ml.EndpointID // endpoints that have had it
}

// Forwarder forwards requests.
type Forwarder struct {
	Self        ml.VMID
	StartedAt   time.Time // of the process
	Domain      ml.DomainID
	Exchanger   ml.Exchanger
	Catalog     *cataloger.Cataloger
	Tracker     *tracker.Tracker
	Detector    *detector.Detector
	Log         *slog.Logger
	Metrics     Meter
	NotifyPeers func() // there is something to tell the other entry VMs

	// PropagationDelay is how long news takes between entry VMs; nil for no time.
	PropagationDelay func() time.Duration

	// RetryPerCent and RetryBurst bound the repeats of this entry VM, as a
	// part of the requests and beyond it.
	RetryPerCent float64
	RetryBurst   float64

	queue     queue
	placeable map[ml.FlightID]time.Time // requests of other entry VMs, since when they could be placed; used by Run only
	flights   atomic.Int64              // numbers flights
	mu        sync.Mutex
	budgets   map[ml.ServiceName]*budgeter.Budgeter
}

// Meter counts what becomes of requests.
type Meter interface {
	// Placed counts a request that has a place after a wait.
	Placed(rq *Request, waited time.Duration)
	// Sent counts a request that goes out for the nth time, 1 for the first.
	Sent(rq *Request, nth int)
	// FirstEvent counts the first event of a stream.
	FirstEvent(rq *Request, predicted, took time.Duration)
	// Finished counts a request that has ended.
	Finished(rq *Request, outcome string, took time.Duration)
}

// end is how an attempt ended.
type end struct {
	done    bool // the caller has its final answer
	notRun  bool // certain that this attempt has not run
	arrived bool // the endpoint has had it
	reason  string
	err     error
	answer  *kept // a whole failure of the endpoint, to pass on when nothing better comes
}

// kept is an endpoint's whole answer.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// Forward serves a request. When it returns the caller has its final answer, or
// has left.
func (fo *Forwarder) Forward(ctx context.Context, rq *Request, rs ml.Responder) {
	ctx, cancel := context.WithDeadline(ctx, rq.Deadline)
	defer cancel()
	bu := fo.budget(rq.Service)
	bu.RecordRequest(fo.RetryPerCent)
	rq.last = rq.Outgoing.LastEventID
	outcome := ""
	for outcome == "" {
		en := fo.once(ctx, rq, rs)
		switch {
		case en.done:
			outcome = en.reason
		case !fo.again(ctx, rq, en, bu):
			outcome = fo.finish(ctx, rq, rs, en)
		default:
			fo.Log.Info("again", "request", rq.Outgoing.Attempt, "sends", rq.sends, "runs", rq.runs, "after", rq.last,
				"notRun", en.notRun, "reason", en.reason, "error", en.err)
		}
	}
	took := time.Since(rq.Arrived)
	fo.Metrics.Finished(rq, outcome, took)
	fo.Log.Info("ended", "request", rq.Outgoing.Attempt, "team", rq.Outgoing.Team, "route", rq.Route.Name, "outcome", outcome,
		"ms", took.Milliseconds(), "prompt", rq.Prompt, "sends", rq.sends, "events", rq.events,
		"firstMs", max(rq.first.Sub(rq.Arrived).Milliseconds(), 0), "pauseMs", rq.pause.Milliseconds(), "targetMs", rq.Route.Target.Milliseconds(),
		"pauseTargetMs", rq.Route.GapTarget.Milliseconds())
}

// once makes one attempt: place, send, pass the answer on.
func (fo *Forwarder) once(ctx context.Context, rq *Request, rs ml.Responder) end {
	pl, err := fo.place(ctx, rq)
	if err != nil {
		fo.logNotPlaced(rq, err)
		return end{notRun: true, reason: err.Error(), err: err}
	}
	defer fo.leave(pl)
	if !fo.Catalog.IsUsable(time.Now(), pl.lead.ID, pl.lead.Incarnation) {
		return end{notRun: true, reason: "left before the send"}
	}
	fo.Log.Info("placed", "request", rq.Outgoing.Attempt, "endpoint", pl.lead.ID, "helpers", pl.helperIDs(), "waitedMs", pl.waited.Milliseconds(),
		"firstMs", pl.predicted.Milliseconds(), "loss", pl.loss, "worth", pl.worth, "seen", pl.seen, "prompt", rq.Prompt)
	fo.Metrics.Placed(rq, pl.waited)
	en := fo.attempt(ctx, rq, rs, pl)
	if en.arrived {
		rq.sends++
		fo.Metrics.Sent(rq, rq.sends)
		rq.seen = append(rq.seen, pl.lead.ID)
	}
	if en.arrived && !en.notRun {
		rq.runs++
	}
	fo.note(ctx, rq, pl, en)
	return en
}

// logNotPlaced tells why a request has no place.
func (fo *Forwarder) logNotPlaced(rq *Request, err error) {
	var lost *lostError
	if !errors.As(err, &lost) {
		return // its caller has left
	}
	fo.Log.Info("not placed", "request", rq.Outgoing.Attempt, "reason", lost.why, "seen", lost.seen, "loss", lost.loss,
		"retryMs", lost.retry.Milliseconds(), "prompt", rq.Prompt)
}

// note tells the detector how an attempt went.
func (fo *Forwarder) note(ctx context.Context, rq *Request, pl *placement, en end) {
	now := time.Now()
	switch {
	case en.done && en.err == nil:
		fo.Detector.Record(now, pl.lead.ID, pl.lead.Incarnation, detector.Succeeded)
	case ctx.Err() != nil && !en.arrived, errors.Is(ctx.Err(), context.Canceled):
		return
	case !en.arrived && en.err != nil:
		fo.Detector.Record(now, pl.lead.ID, pl.lead.Incarnation, detector.Unreachable)
		fo.Tracker.RecordFailure(pl.lead.ID)
	case en.notRun:
		fo.Detector.Record(now, pl.lead.ID, pl.lead.Incarnation, detector.PeerFailed)
	default:
		fo.Detector.Record(now, pl.lead.ID, pl.lead.Incarnation, detector.Failed)
		if rq.Route.Kind == ml.RouteStream {
			fo.Tracker.RecordFailure(pl.lead.ID)
		}
	}
}

// again decides whether a request is tried once more. What may have run is
// repeated only on routes that allow it, within the route's attempts and the
// budget.
func (fo *Forwarder) again(ctx context.Context, rq *Request, en end, bu *budgeter.Budgeter) bool {
	if ctx.Err() != nil || time.Until(rq.Deadline) < leastLeft || rq.sends >= maxSends {
		return false
	}
	var lost *lostError
	if errors.As(en.err, &lost) {
		return false
	}
	if rq.runs > 0 && (!rq.Route.Idempotent() || rq.runs >= rq.Route.MaxAttempts) {
		return false
	}
	if rq.begun && !rq.Route.Resumable {
		return false
	}
	return !en.arrived || rq.paid.Swap(false) || bu.AllowRetry()
}

// finish gives the caller the final answer after the last attempt.
func (fo *Forwarder) finish(ctx context.Context, rq *Request, rs ml.Responder, en end) string {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		rs.Abort()
		return "caller left"
	case rq.begun:
		rs.Abort()
		return "broken off: " + en.reason
	}
	if en.answer != nil {
		return fo.passKept(rs, en.answer)
	}
	rf := refusal(ctx, rq, en)
	rs.Refuse(rf)
	return strconv.Itoa(rf.Status) + " " + rf.Reason
}

// refusal returns the answer to a request that could not be served. A status
// that promises that nothing ran is used only when that is certain.
func refusal(ctx context.Context, rq *Request, en end) ml.Refusal {
	var lost *lostError
	retry := defaultRetry
	if errors.As(en.err, &lost) {
		retry = lost.retry
	}
	switch {
	case rq.runs == 0:
		return ml.Refusal{Status: http.StatusServiceUnavailable, Reason: "not run: " + en.reason, RetryAfter: retry}
	case ctx.Err() != nil:
		return ml.Refusal{Status: http.StatusGatewayTimeout, Reason: "no answer in time"}
	}
	return ml.Refusal{Status: http.StatusBadGateway, Reason: "may have run: " + en.reason}
}

// defaultRetry is when a caller may come again after a refusal whose end can't
// be predicted.
const defaultRetry = 200 * time.Millisecond

func (fo *Forwarder) passKept(rs ml.Responder, ke *kept) string {
	err := rs.Begin(ke.status, ke.header, int64(len(ke.body)))
	if err == nil {
		err = rs.Write(ke.body)
	}
	if err != nil {
		rs.Abort()
		return fmt.Sprintf("caller left: %v", err)
	}
	return strconv.Itoa(ke.status) + " of the endpoint"
}

func (fo *Forwarder) budget(service ml.ServiceName) *budgeter.Budgeter {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.budgets == nil {
		fo.budgets = make(map[ml.ServiceName]*budgeter.Budgeter)
	}
	bu := fo.budgets[service]
	if bu == nil {
		bu = &budgeter.Budgeter{Burst: fo.RetryBurst}
		fo.budgets[service] = bu
	}
	return bu
}

func (fo *Forwarder) flightID() ml.FlightID {
	return ml.FlightID(string(fo.Self) + "-" + strconv.FormatInt(fo.flights.Add(1), 36))
}
