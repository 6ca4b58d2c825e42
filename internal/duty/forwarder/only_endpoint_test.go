package forwarder

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
)

// failsFirst answers the first requests with an error status and the others well.
type failsFirst struct {
	silentExchanger
	failing int64
	sent    *atomic.Int64
}

func (ff failsFirst) Exchange(_ context.Context, _ ml.ListedEndpoint, out *ml.OutboundRequest) (*ml.Answer, error) {
	out.OnSent()
	status := http.StatusOK
	if ff.sent.Add(1) <= ff.failing {
		status = http.StatusInternalServerError
	}
	return &ml.Answer{Status: status, Header: http.Header{}, Length: 2, Body: bytes.NewReader([]byte("ok")), Sealed: true, Close: func() {}}, nil
}

// statusResponder keeps the status of a response.
type statusResponder struct {
	discardResponder
	status *atomic.Int64
}

func (sr statusResponder) Begin(status int, _ http.Header, _ int64) error {
	sr.status.Store(int64(status))
	return nil
}

func (sr statusResponder) Refuse(rf ml.Refusal) { sr.status.Store(int64(rf.Status)) }

// TestOnlyEndpointLeft guards against a call that is given up while a sound endpoint is
// there. The others of its service are gone, and the one that is left fails some requests, as
// when all but one were lost or cut off: a call that may be repeated goes there once more.
func TestOnlyEndpointLeft(t *testing.T) {
	for name, ca := range map[string]struct {
		kind    ml.RouteKind
		failing int64
		status  int64
		sent    int64
	}{
		"repeated":               {ml.RouteSafe, 1, http.StatusOK, 2},
		"fails again":            {ml.RouteSafe, 5, http.StatusInternalServerError, 2},
		"must run at most once":  {ml.RouteUnsafe, 1, http.StatusInternalServerError, 1},
		"answers the first time": {ml.RouteSafe, 0, http.StatusOK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			sent, status := &atomic.Int64{}, &atomic.Int64{}
			fo := newForwarder(ctx, "vm", sent)
			fo.Exchanger = failsFirst{silentExchanger{sent, &atomic.Int64{}}, ca.failing, sent}
			fo.RetryBurst, fo.RetryPerCent = 10, 20
			now := time.Now()
			rq := &Request{
				Route:   &ml.Route{Kind: ca.kind, MaxAttempts: 2, Target: 300 * time.Millisecond},
				Service: "lm", Arrived: now, FirstEventTarget: now.Add(300 * time.Millisecond), FirstEventDeadline: now.Add(1500 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
			}
			fo.Forward(ctx, rq, statusResponder{status: status})
			g.Expect(status.Load()).To(gomega.Equal(ca.status))
			g.Expect(sent.Load()).To(gomega.Equal(ca.sent))
		})
	}
}
