package forwarder

import (
	"context"
	"errors"
	"strconv"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// maxCarries bounds how often one request is handed to another entry VM. A second time is
// only tried if the first one has certainly not run it.
const maxCarries = 2

// errPathsLost means that a request was not placed since all paths to its service are lost
// and another entry VM can carry it.
var errPathsLost = errors.New("all paths to the service are lost")

// mustCarry reports whether a request is handed to another entry VM: all paths to its
// service are lost here, and another one may have some. A request that was handed over
// once goes no further.
func (fo *Forwarder) mustCarry(now time.Time, rq *Request) bool {
	if rq.IsCarried || fo.Carrier == nil || len(rq.carriers) >= maxCarries || !fo.Reacher.IsCut(rq.Service) {
		return false
	}
	_, found := fo.Carriers(now, rq.Service, rq.carriers)
	return found
}

// isStranded reports whether a request that was handed over has come to an entry VM without
// paths, which it must leave at once.
func (fo *Forwarder) isStranded(rq *Request) bool {
	return rq.IsCarried && fo.Reacher.IsCut(rq.Service)
}

// carry hands a request to another entry VM, which places it like one of its own callers',
// and forwards the response.
func (fo *Forwarder) carry(ctx context.Context, rq *Request, rs ml.Responder) attemptResult {
	address, found := fo.Carriers(time.Now(), rq.Service, rq.carriers)
	if !found {
		return attemptResult{notRun: true, reason: errPathsLost.Error(), err: &unplaceableError{reason: errPathsLost.Error(), retryAfter: defaultRetryAfter}}
	}
	rq.carriers = append(rq.carriers, address)
	attempts := rq.maxAttempts() - rq.possibleRuns
	fo.Log.Info("carried", "request", rq.Outgoing.Attempt, "by", address, "attempts", attempts, "after", rq.lastEventID)
	ar := fo.attemptCarried(ctx, rq, rs, address, attempts)
	if ar.received {
		rq.sendCount++
		rq.possibleRuns = rq.maxAttempts() // the other entry VM may have used them all
	}
	return ar
}

// attemptCarried sends a request to another entry VM and forwards the response.
func (fo *Forwarder) attemptCarried(ctx context.Context, rq *Request, rs ml.Responder, address string, attempts int) attemptResult {
	pl := &placement{lead: ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: ml.EndpointID(address)}}, flights: []ml.FlightID{""}}
	out := rq.outgoing(pl)
	sent := time.Now()
	an, err := fo.Carrier.Carry(ctx, address, out, attempts)
	if err != nil {
		er := ml.AsError("carry", err)
		return attemptResult{notRun: er.NotRun, received: !er.NotRun, reason: failureReason(ctx, er), err: err}
	}
	defer an.Close()
	fo.recordDeparture(time.Now(), rq, an)
	switch {
	case an.NotRun && fo.mustCarry(time.Now(), rq):
		return attemptResult{notRun: true, reason: "refused by " + address}
	case an.NotRun:
		err := &unplaceableError{reason: "refused by another entry VM", retryAfter: max(an.RetryAfter, defaultRetryAfter)}
		return attemptResult{notRun: true, reason: "refused by " + address, err: err}
	case !rq.continuedBy(an):
		return fo.notContinued(rq, an)
	case an.Status/100 == 2 && rq.Route.Kind == ml.RouteStream:
		return fo.forwardStream(ctx, rq, rs, pl, an, idleWatchdog(), sent)
	case !an.Sealed && an.Status/100 == 4:
		// This entry VM has accepted the request, so an endpoint has to say what is wrong with it.
		return attemptResult{received: true, reason: "status " + strconv.Itoa(an.Status) + " of " + address, err: errEndpointFailure}
	}
	return fo.forwardBuffered(rq, rs, pl, an)
}

// idleWatchdog returns a watchdog without effect: the entry VM that carries a request
// watches the engine.
func idleWatchdog() *watchdog {
	const never = 24 * time.Hour
	ti := time.NewTimer(never)
	ti.Stop()
	return &watchdog{Timer: ti, gapTimeout: never}
}

// maxAttempts returns how many attempts of a request may run here.
func (rq *Request) maxAttempts() int {
	if rq.IsCarried {
		return rq.CarriedAttempts
	}
	return rq.Route.MaxAttempts
}
