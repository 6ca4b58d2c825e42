package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
)

// slowExchanger answers calls after a time of each endpoint. It counts the calls that it got, and
// those that were cancelled.
type slowExchanger struct {
	silentExchanger
	took   map[ml.EndpointID]time.Duration
	status map[ml.EndpointID]int // 200 if there is none

	mu     sync.Mutex
	calls  map[ml.EndpointID]int
	closed int
}

// counts returns the number of copies that endpoints have got, and of those that have ended.
func (se *slowExchanger) counts() (copies, ended int) {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, n := range se.calls {
		copies += n
	}
	return copies, se.closed + int(se.cancelled.Load())
}

// Exchange implements ml.Exchanger.
func (se *slowExchanger) Exchange(ctx context.Context, ep ml.ListedEndpoint, out *ml.OutboundRequest) (*ml.Answer, error) {
	se.mu.Lock()
	se.calls[ep.ID]++
	se.mu.Unlock()
	out.OnSent()
	select {
	case <-ctx.Done():
		se.cancelled.Add(1)
		return nil, ctx.Err()
	case <-time.After(se.took[ep.ID]):
	}
	status := http.StatusOK
	if se.status[ep.ID] != 0 {
		status = se.status[ep.ID]
	}
	return &ml.Answer{Status: status, Header: http.Header{}, Length: 2, Body: bytes.NewReader([]byte("ok")), Sealed: true, Close: func() {
		se.mu.Lock()
		defer se.mu.Unlock()
		se.closed++
	}}, nil
}

// slowDecoder decodes each record as an endpoint with six places.
type slowDecoder struct{ engineDecoder }

func (slowDecoder) Endpoint(re ml.KeyRecord) (ml.ListedEndpoint, bool, error) {
	return ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: ml.EndpointID(re.Key), Service: "lm", State: ml.StateLive, MaxRequests: 6}}, true, nil
}

// call returns a plain call with an objective of 300 ms.
func call(kind ml.RouteKind) *Request {
	rq := request(6)
	rq.Route = &ml.Route{Kind: kind, MaxAttempts: 2, Target: 300 * time.Millisecond}
	rq.Spec, rq.Deadline = &ml.ServiceSpec{Name: "lm"}, rq.Arrived.Add(1500*time.Millisecond)
	return rq
}

// TestHedge checks what a second copy of a slow call changes for its caller, and when none is sent.
func TestHedge(t *testing.T) {
	const slow, quick = 1200 * time.Millisecond, 20 * time.Millisecond
	tests := map[string]struct {
		kind        ml.RouteKind
		perCent     float64
		attempts    int
		other       time.Duration
		status      int // of the other endpoint
		busy        int // requests at the other endpoint
		copies      int
		answered    time.Duration
		mayNotRetry bool
	}{
		"a second endpoint answers":              {ml.RouteSafe, 100, 2, quick, 0, 0, 2, 170 * time.Millisecond, false},
		"no limit is set":                        {ml.RouteSafe, 0, 2, quick, 0, 0, 1, slow, false},
		"the call may not be repeated":           {ml.RouteUnsafe, 100, 2, quick, 0, 0, 1, slow, false},
		"the route allows one attempt":           {ml.RouteSafe, 100, 1, quick, 0, 0, 1, slow, false},
		"the other endpoint has no place":        {ml.RouteSafe, 100, 2, quick, 0, 6, 1, slow, false},
		"the service is busy":                    {ml.RouteSafe, 100, 2, quick, 0, 12, 1, slow, false},
		"the retry budget is used":               {ml.RouteSafe, 100, 2, quick, 0, 0, 1, slow, true},
		"the second is slower":                   {ml.RouteSafe, 100, 2, 2 * slow, 0, 0, 2, slow, false},
		"the second fails":                       {ml.RouteSafe, 100, 2, quick, http.StatusInternalServerError, 0, 2, slow, false},
		"both answer at the same moment":         {ml.RouteSafe, 100, 2, slow - 150*time.Millisecond, 0, 0, 2, slow, false},
		"the second is one moment before slower": {ml.RouteSafe, 100, 2, slow - 149*time.Millisecond, 0, 0, 2, slow, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				fo := newForwarder(ctx, "vm", &atomic.Int64{})
				fo.Catalog.Decoder = slowDecoder{}
				fo.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: "slow", Value: []byte("x"), Offset: 1}, {Topic: "t", Key: "e", Offset: 2}}, nil)
				se := &slowExchanger{
					silentExchanger: silentExchanger{&atomic.Int64{}, &atomic.Int64{}}, calls: make(map[ml.EndpointID]int),
					took: map[ml.EndpointID]time.Duration{"slow": slow, "other": tt.other}, status: map[ml.EndpointID]int{"other": tt.status},
				}
				fo.Exchanger, fo.HedgePerCent = se, tt.perCent
				if tt.mayNotRetry {
					fo.allowRetry(time.Now(), "lm")
				}
				rq := call(tt.kind)
				rq.Route.MaxAttempts = tt.attempts
				start := time.Now()
				ended := make(chan time.Duration, 1)
				go func() {
					fo.Forward(ctx, rq, discardResponder{})
					ended <- time.Since(start)
				}()
				time.Sleep(time.Millisecond)
				fo.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: "other", Value: []byte("x"), Offset: 3}}, nil)
				for i := range tt.busy {
					at := ml.EndpointID("other")
					if i >= 6 {
						at = "slow"
					}
					fo.Tracker.AddFlight(time.Now(), ml.Flight{ID: ml.FlightID(fmt.Sprint("busy", i)), Endpoint: at, SentAt: time.Now()})
				}
				took := <-ended
				synctest.Wait()
				g.Expect(took).To(gomega.Equal(tt.answered))
				copies, closed := se.counts()
				g.Expect(copies).To(gomega.Equal(tt.copies))
				g.Expect(closed).To(gomega.Equal(tt.copies), "each copy is ended")
				g.Expect(rq.possibleRuns).To(gomega.Equal(tt.copies))
				for id, flights := range fo.Tracker.Flights(time.Now()) {
					for _, fl := range flights {
						g.Expect(string(fl.ID)).To(gomega.HavePrefix("busy"), "at %s", id)
					}
				}
			})
		})
	}
}

// TestHedgeCallerLeaves checks that both copies end when the caller leaves between them.
func TestHedgeCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		fo := newForwarder(ctx, "vm", &atomic.Int64{})
		fo.Catalog.Decoder = slowDecoder{}
		fo.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: "a", Value: []byte("x"), Offset: 1}, {Topic: "t", Key: "b", Value: []byte("x"), Offset: 2}, {Topic: "t", Key: "e", Offset: 3}}, nil)
		se := &slowExchanger{
			silentExchanger: silentExchanger{&atomic.Int64{}, &atomic.Int64{}}, calls: make(map[ml.EndpointID]int),
			took: map[ml.EndpointID]time.Duration{"a": time.Minute, "b": time.Minute},
		}
		fo.Exchanger, fo.HedgePerCent = se, 100
		rqCtx, leave := context.WithCancel(ctx)
		go fo.Forward(rqCtx, call(ml.RouteSafe), discardResponder{})
		time.Sleep(200 * time.Millisecond)
		copies, _ := se.counts()
		g.Expect(copies).To(gomega.Equal(2))
		leave()
		synctest.Wait()
		g.Expect(se.cancelled.Load()).To(gomega.Equal(int64(2)))
		g.Expect(fo.Tracker.Flights(time.Now())).To(gomega.BeEmpty())
	})
}
