// Package forwarder places callers' requests on endpoints, sends them and forwards
// the responses. Requests for engines wait in a queue until they can be placed.
// Failed attempts are retried where the route and the retry budget allow it.
package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/apportioner"
	"github.com/mulberrylever/mulberrylever/internal/decision/attributor"
	"github.com/mulberrylever/mulberrylever/internal/decision/budgeter"
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/decision/divider"
	"github.com/mulberrylever/mulberrylever/internal/decision/pauser"
	"github.com/mulberrylever/mulberrylever/internal/decision/reacher"
	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

const (
	// maxSendsPerRequest bounds how often one request is sent, including sends that did
	// not run.
	maxSendsPerRequest = 4
	// minTimeForRetry is the time that must be left before the deadline for a
	// retry to be of use.
	minTimeForRetry = 30 * time.Millisecond
)

// Request is one request of a caller.
type Request struct {
	Outgoing           ml.OutboundRequest
	Route              *ml.Route
	Service            ml.ServiceName
	Spec               *ml.ServiceSpec // nil if the configuration does not describe the service
	Prompt             ml.Tokens
	Parts              []ml.PartID // of the prompt, those that other requests may share
	Identity           ml.PartID   // of the request as a whole
	Answer             ml.Tokens   // expected
	Arrived            time.Time
	FirstEventTarget   time.Time   // objective for the response, or for a stream's first event
	FirstEventDeadline time.Time   // when the caller stops waiting for it
	Deadline           time.Time   // of the complete response
	Priority           ml.Priority // effective rank
	Weight             float64     // by rank, beside other requests for the service; 0 counts as 1
	IsCarried          bool        // another entry VM has handed it over, and counts it as a request
	CarriedAttempts    int         // that may run, if it is carried

	sendCount      int        // attempts that reached an endpoint
	possibleRuns   int        // of these, attempts that may have run
	headSent       bool       // status and header were sent to the caller
	headStatus     int        // that status
	headType       string     // the media type in that header
	lastEventID    ml.EventID // of the newest event that the caller has
	eventCount     int
	firstEventAt   time.Time                 // when the first event was forwarded
	lastEventAt    time.Time                 // when the latest event was forwarded
	longestGap     time.Duration             // longest gap between two events
	retryCharged   atomic.Bool               // the retry budget was already charged for the next attempt
	reserved       atomic.Pointer[placement] // for the next attempt
	leftEndpoint   ml.EndpointID             // that the last attempt has left although it may be well
	triedEndpoints []ml.EndpointID           // endpoints that received the request
	carriers       []string                  // addresses of the entry VMs to which it was handed over
	isTrial        bool                      // sent although it is blocked, or a part of its prompt
}

// Forwarder places requests on endpoints and forwards the responses.
type Forwarder struct {
	Self       ml.VMID
	StartedAt  time.Time // start of the process
	Domain     ml.DomainID
	Exchanger  ml.Exchanger
	Catalog    *cataloger.Cataloger
	Tracker    *tracker.Tracker
	Detector   *detector.Detector
	Attributor *attributor.Attributor
	Reacher    *reacher.Reacher
	Pauser     pauser.Pauser
	Bytes      *bounder.Bounder // what answers hold until they are forwarded; nil for no bound
	Log        *slog.Logger
	Metrics    Meter
	// Carrier hands requests to other entry VMs. Nil means that there are none.
	Carrier ml.Carrier
	// Carriers returns the address, for other entry VMs, of one that has paths to a service
	// and is not one of those that were tried.
	Carriers    func(now time.Time, service ml.ServiceName, tried []string) (string, bool)
	NotifyPeers func() // called when a change must be sent to the other entry VMs
	// PublishCrash is called when the crash of an engine must be recorded in the
	// platform's store.
	PublishCrash func(now time.Time, sc ml.SharedCrash)
	// ShareCleared is called with parts that answers have cleared, to tell the other entry
	// VMs and the platform's store.
	ShareCleared func(parts []ml.PartID)
	// PublishParts is called when the records of blocked parts in the platform's store
	// may have to be changed.
	PublishParts func()

	// Scheduler returns the address of the entry VM that places the requests of this one, and
	// whether that is this one. It is empty if entry VMs tell each other of all requests and
	// each places its own. Nil means that it is always empty.
	Scheduler func(now time.Time) (address string, isSelf bool)
	// SchedulerFailed is called when a scheduler did not reply.
	SchedulerFailed func(address string, err error)
	// Schedulers asks other entry VMs to place requests.
	Schedulers ml.SchedulerPeers

	// Refusing ends when this process stops so soon that a request which is sent now may be cut
	// off: what has not been sent is refused then. Ending ends when all requests have to be
	// ended. Nil means never.
	Refusing, Ending context.Context

	// PropagationDelay returns the mean delay of updates between entry VMs. Nil means none.
	PropagationDelay func() time.Duration

	// Membership returns the view of the entry VMs among which Divider divides the
	// rates of cold endpoints and RetryBurst. Nil means that there are no others.
	Membership func(now time.Time) ml.Membership
	Divider    *divider.Divider
	// ColdOverage times the rate that a cold endpoint sustains, and ColdSlack more, is
	// the most that it may receive in one second.
	ColdOverage, ColdSlack float64

	// RetryPerCent bounds the retries of each entry VM as a share of its requests,
	// RetryBurst those of all entry VMs together beyond that share.
	RetryPerCent float64
	RetryBurst   int

	// HedgePerCent bounds second copies of requests, sent to another endpoint since the first one
	// is slow, as a share of the requests. 0 means none.
	HedgePerCent float64

	// MaxHoldIdle is the longest time that memory may stay reserved at an engine while no
	// request uses it. 0 means no limit.
	MaxHoldIdle time.Duration

	queue              queue
	needs              map[needKey]*apportioner.Need // of engines without short answers; guarded by deciding
	hedges             hedges
	teamsBehind        map[ml.TeamID]bool        // that use more than their share, as last logged; used by Run only
	teamsLoggedAt      time.Time                 // when they were logged
	peerPlaceableSince map[ml.FlightID]time.Time // since when peer requests could have been placed; used by Run only
	lastFlightNumber   atomic.Int64              // last number used in a flight id
	choosing           sync.Mutex                // held by chooseService until the flight is recorded
	deciding           sync.Mutex                // held while it is decided on requests, until their flights are recorded
	mu                 sync.Mutex
	retryBudgets       map[ml.ServiceName]*budgeter.Budgeter
}

// Meter records metrics of requests.
type Meter interface {
	// Placed records that a request was placed, and how long it waited.
	Placed(rq *Request, waited time.Duration)
	// Sent records that a request was sent for the nth time, 1 for the first.
	Sent(rq *Request, nth int)
	// FirstEvent records the predicted and the actual time to a stream's first
	// event.
	FirstEvent(rq *Request, predicted, took time.Duration)
	// MemoryGivenBack records that memory was given back that was reserved for a request and
	// not used.
	MemoryGivenBack(rq *Request)
	// Hedged records that a request was sent to a second endpoint, and whether that one was the
	// first to answer.
	Hedged(rq *Request, secondWon bool)
	// Finished records that a request has ended.
	Finished(rq *Request, outcome string, took time.Duration)
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	done          bool // the response to the caller is complete or was aborted
	notRun        bool // certain that this attempt did not run
	received      bool // the endpoint received, or may have received, the request
	events        int  // events of a stream that were received
	timedOut      bool // given up since no event was received in time
	reason        string
	err           error
	errorResponse *bufferedResponse // error response of the endpoint, forwarded if no later attempt succeeds
}

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status  int
	header  http.Header
	body    []byte
	message *bounder.Message // what it holds
}

// release gives back what a result holds that is not forwarded any more.
func (ar *attemptResult) release() {
	if ar.errorResponse != nil {
		ar.errorResponse.message.Close()
	}
}

// Forward serves a request. When it returns, the caller has the final response or
// has disconnected.
func (fo *Forwarder) Forward(ctx context.Context, rq *Request, rs ml.Responder) {
	ctx, cancel := context.WithDeadline(ctx, rq.Deadline)
	defer cancel()
	ctx, release := endWith(ctx, fo.Ending)
	defer release()
	if !rq.IsCarried {
		fo.retryBudget(rq.Service).RecordRequest(fo.RetryPerCent)
		fo.hedges.recordRequest(fo.HedgePerCent)
	}
	defer fo.releasePlace(rq)
	rq.lastEventID = rq.Outgoing.LastEventID
	outcome := ""
	for outcome == "" {
		ar := fo.placeAndAttempt(ctx, rq, rs)
		switch {
		case ar.done:
			outcome = ar.reason
		case !fo.shouldRetry(ctx, rq, ar):
			outcome = fo.finish(ctx, rq, rs, ar)
		default:
			fo.Log.Info("again", "request", rq.Outgoing.Attempt, "sends", rq.sendCount, "runs", rq.possibleRuns, "after", rq.lastEventID,
				"notRun", ar.notRun, "reason", ar.reason, "error", ar.err)
		}
		ar.release()
	}
	took := time.Since(rq.Arrived)
	fo.Metrics.Finished(rq, outcome, took)
	fo.Log.Info("ended", "request", rq.Outgoing.Attempt, "team", rq.Outgoing.Team, "route", rq.Route.Name, "outcome", outcome,
		"ms", took.Milliseconds(), "prompt", rq.Prompt, "sends", rq.sendCount, "events", rq.eventCount,
		"firstMs", max(rq.firstEventAt.Sub(rq.Arrived).Milliseconds(), 0), "pauseMs", rq.longestGap.Milliseconds(), "targetMs", rq.Route.Target.Milliseconds(),
		"pauseTargetMs", rq.Route.GapTarget.Milliseconds())
}

// placeAndAttempt makes one attempt: it places the request, sends it and forwards
// the response.
func (fo *Forwarder) placeAndAttempt(ctx context.Context, rq *Request, rs ml.Responder) attemptResult {
	pl, err := fo.waitForPlace(ctx, rq)
	if errors.Is(err, errMustCarry) {
		return fo.carry(ctx, rq, rs)
	}
	if err != nil {
		return fo.notPlaced(rq, err)
	}
	defer fo.endFlights(pl)
	if ve := fo.checkOnce(time.Now(), rq); ve.Blocked != "" || ve.Wait > 0 {
		return attemptResult{notRun: true, reason: "engines crashed on the request, or on a part of its prompt, meanwhile"}
	}
	if !fo.Catalog.IsUsable(time.Now(), pl.lead.ID, pl.lead.Incarnation) {
		return attemptResult{notRun: true, reason: "left before the send"}
	}
	if fo.isPaused(time.Now(), pl.lead) {
		return attemptResult{notRun: true, reason: "asked for a pause before the send"}
	}
	fo.Log.Info("placed", "request", rq.Outgoing.Attempt, "endpoint", pl.lead.ID, "helpers", pl.helperIDs(), "waitedMs", pl.waited.Milliseconds(),
		"firstMs", pl.predictedFirstEvent.Milliseconds(), "loss", pl.loss, "worth", pl.value, "seen", pl.usable, "prompt", rq.Prompt,
		"recentSends", pl.recentSends, "cold", pl.cold, "rank", rq.Priority)
	fo.Metrics.Placed(rq, pl.waited)
	sentAt := time.Now()
	ar := fo.attempt(ctx, rq, rs, pl)
	fo.reportCrash(ctx, rq, pl, ar, sentAt)
	rq.isTrial = false // one send is enough
	if ar.received {
		rq.sendCount++
		fo.Metrics.Sent(rq, rq.sendCount)
		rq.triedEndpoints = append(rq.triedEndpoints, pl.lead.ID)
	}
	rq.recordLeft(pl, ar)
	if ar.received && !ar.notRun {
		rq.possibleRuns++
	}
	fo.recordResult(ctx, rq, pl, ar)
	return ar
}

// recordLeft records that a stream has left its silent engine. If the engine to which it has moved
// turns it away, it may go back.
func (rq *Request) recordLeft(pl *placement, ar attemptResult) {
	if ar.notRun && rq.leftEndpoint != "" {
		rq.triedEndpoints = slices.DeleteFunc(rq.triedEndpoints, func(id ml.EndpointID) bool { return id == rq.leftEndpoint })
	}
	rq.leftEndpoint = ""
	if ar.timedOut {
		rq.leftEndpoint = pl.lead.ID
	}
}

// notPlaced returns the result of a request that could not be placed, and logs why.
func (fo *Forwarder) notPlaced(rq *Request, err error) attemptResult {
	var ue *unplaceableError
	if errors.As(err, &ue) { // otherwise the caller has disconnected
		fo.Log.Info("not placed", "request", rq.Outgoing.Attempt, "reason", ue.reason, "seen", ue.usable, "loss", ue.loss,
			"retryMs", ue.retryAfter.Milliseconds(), "prompt", rq.Prompt, "part", ue.part)
	}
	return attemptResult{notRun: true, reason: err.Error(), err: err}
}

// recordResult reports an attempt's result to the failure detector, and an
// endpoint's failure to the other entry VMs.
func (fo *Forwarder) recordResult(ctx context.Context, rq *Request, pl *placement, ar attemptResult) {
	now := time.Now()
	isOwnFault := fo.Reacher.IsCut(rq.Service)
	switch {
	case ar.done && ar.err == nil:
		fo.Detector.Record(now, pl.lead.ID, pl.lead.Incarnation, detector.Succeeded)
	case isOwnFault, ctx.Err() != nil && !ar.received, errors.Is(ctx.Err(), context.Canceled):
		return
	case !ar.received && ar.err != nil:
		fo.Detector.Record(now, pl.lead.ID, pl.lead.Incarnation, detector.Unreachable)
		fo.Tracker.RecordFailure(pl.lead.ID)
	case ar.notRun:
		// The endpoint received the request but did not run it. This has the
		// lower weight of a failure reported by another entry VM.
		fo.Detector.Record(now, pl.lead.ID, pl.lead.Incarnation, detector.PeerFailed)
	default:
		fo.Detector.Record(now, pl.lead.ID, pl.lead.Incarnation, detector.Failed)
		fo.Log.Info("failed", "request", rq.Outgoing.Attempt, "endpoint", pl.lead.ID, "incarnation", pl.lead.Incarnation,
			"reason", ar.reason, "attemptEvents", ar.events, "parts", rq.Parts, "identity", rq.Identity)
		if rq.Route.Kind == ml.RouteStream {
			fo.shareFailure(now, pl.lead.ID)
		}
	}
}

// shareFailure tells the scheduler of an engine's failure or, if there is none, the other entry
// VMs.
func (fo *Forwarder) shareFailure(now time.Time, id ml.EndpointID) {
	if _, found := fo.scheduler(now); found {
		fo.Tracker.RecordFailedRun(id)
		return
	}
	fo.Tracker.RecordFailure(id)
}

func (fo *Forwarder) newFlightID() ml.FlightID {
	return ml.FlightID(string(fo.Self) + "-" + strconv.FormatInt(fo.lastFlightNumber.Add(1), 36))
}
