package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// finish sends the final response after the last attempt and returns the outcome.
func (fo *Forwarder) finish(ctx context.Context, rq *Request, rs ml.Responder, ar attemptResult) string {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		rs.Abort()
		return "caller left"
	case rq.headSent:
		rs.Abort()
		return "broken off: " + ar.reason
	}
	if ar.errorResponse != nil {
		return fo.sendBuffered(rs, ar.errorResponse)
	}
	rf := refusal(ctx, rq, ar)
	rs.Refuse(rf)
	return strconv.Itoa(rf.Status) + " " + rf.Reason
}

// refusal returns the response to a request that could not be served. Status 503
// states that the request did not run, so it is used only if that is certain.
func refusal(ctx context.Context, rq *Request, ar attemptResult) ml.Refusal {
	var ue *unplaceableError
	retryAfter := defaultRetryAfter
	if errors.As(ar.err, &ue) {
		retryAfter = ue.retryAfter
	}
	switch {
	case rq.possibleRuns == 0:
		return ml.Refusal{Status: http.StatusServiceUnavailable, Reason: "not run: " + ar.reason, RetryAfter: retryAfter}
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStopping):
		return ml.Refusal{Status: http.StatusGatewayTimeout, Reason: "no answer in time"}
	}
	return ml.Refusal{Status: http.StatusBadGateway, Reason: "may have run: " + ar.reason}
}

// defaultRetryAfter is the Retry-After of a refusal when it can't be predicted
// when the request could be served.
const defaultRetryAfter = 200 * time.Millisecond

func (fo *Forwarder) sendBuffered(rs ml.Responder, br *bufferedResponse) string {
	err := rs.Begin(br.status, br.header, int64(len(br.body)))
	if err == nil {
		err = rs.Write(br.body)
	}
	if err != nil {
		rs.Abort()
		return fmt.Sprintf("caller left: %v", err)
	}
	return strconv.Itoa(br.status) + " of the endpoint"
}
