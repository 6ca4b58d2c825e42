package forwarder

import (
	"context"
	"errors"
	"time"
)

// errStopping means that a request was given up since this process stops.
var errStopping = errors.New("stopping")

// errMustCarry means that a request has to be handed to another entry VM.
var errMustCarry = errors.New("another entry VM has to carry the request")

// endWith returns a context that also ends, with errStopping, when another one does, which may
// be nil. The function returned has to be called.
func endWith(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if other == nil {
		return ctx, func() { cancel(nil) }
	}
	stop := context.AfterFunc(other, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// waitForPlace finds an endpoint for a request, and waits until one can take it. A request that
// has not been sent yet must not be sent any more once this process stops, and doesn't wait for
// its end; one that has been may go on at another endpoint.
func (fo *Forwarder) waitForPlace(ctx context.Context, rq *Request) (*placement, error) {
	if pl := rq.reserved.Swap(nil); pl != nil {
		return pl, nil
	}
	if rq.possibleRuns == 0 {
		waitCtx, release := endWith(ctx, fo.Refusing)
		defer release()
		ctx = waitCtx
	}
	pl, err := fo.choosePlace(ctx, rq)
	if cause := context.Cause(ctx); errors.Is(cause, errStopping) && !errors.Is(err, errMustCarry) {
		if pl != nil {
			fo.endFlights(pl)
		}
		return nil, &unplaceableError{reason: cause.Error(), retryAfter: defaultRetryAfter}
	}
	return pl, err
}

// choosePlace checks whether a request may be sent from here, and places it.
func (fo *Forwarder) choosePlace(ctx context.Context, rq *Request) (*placement, error) {
	if err := fo.checkParts(ctx, rq); err != nil {
		return nil, err
	}
	if fo.isStranded(rq) {
		return nil, &unplaceableError{reason: errPathsLost.Error(), retryAfter: defaultRetryAfter}
	}
	if fo.mustCarry(time.Now(), rq) {
		return nil, errMustCarry
	}
	return fo.place(ctx, rq)
}
