package forwarder

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/decision/reacher"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

// engineDecoder decodes each record as a live engine of the service "lm".
type engineDecoder struct{}

func (engineDecoder) Config(ml.KeyRecord) (ml.ServingConfig, bool, error) {
	return ml.ServingConfig{}, false, nil
}
func (engineDecoder) Domain(ml.KeyRecord) (ml.DomainID, bool) { return "", false }
func (engineDecoder) Part(ml.KeyRecord) (ml.PartID, ml.PartState, bool) {
	return "", ml.PartState{}, false
}

func (engineDecoder) Endpoint(re ml.KeyRecord) (ml.ListedEndpoint, bool, error) {
	return ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: ml.EndpointID(re.Key), Service: "lm", State: ml.StateLive}}, true, nil
}

// silentExchanger never answers. It counts the requests sent and those cancelled.
type silentExchanger struct{ sent, cancelled *atomic.Int64 }

func (se silentExchanger) Exchange(ctx context.Context, _ ml.ListedEndpoint, _ *ml.OutboundRequest) (*ml.Answer, error) {
	se.sent.Add(1)
	<-ctx.Done()
	se.cancelled.Add(1)
	return nil, ctx.Err()
}

func (silentExchanger) HoldUse(context.Context, ml.ListedEndpoint, ml.HoldID) (ml.HoldUse, error) {
	return ml.HoldUseUnknown, nil
}

func (silentExchanger) ReserveMemory(context.Context, ml.ListedEndpoint, ml.HoldID, ml.Tokens, time.Duration) error {
	return nil
}

func (silentExchanger) ReleaseMemory(context.Context, ml.ListedEndpoint, ml.HoldID) error { return nil }

func (silentExchanger) Connect(context.Context, ml.ListedEndpoint) ml.ConnectResult {
	return ml.ConnectFailed
}

// noMeter discards metrics.
type noMeter struct{}

func (noMeter) Hedged(*Request, bool)                             {}
func (noMeter) MemoryGivenBack(*Request)                          {}
func (noMeter) Finished(*Request, string, time.Duration)          {}
func (noMeter) Placed(*Request, time.Duration)                    {}
func (noMeter) Sent(*Request, int)                                {}
func (noMeter) FirstEvent(*Request, time.Duration, time.Duration) {}

// discardResponder discards responses.
type discardResponder struct{}

func (discardResponder) Begin(int, http.Header, int64) error { return nil }
func (discardResponder) Write([]byte) error                  { return nil }
func (discardResponder) Refuse(ml.Refusal)                   {}
func (discardResponder) Abort()                              {}

func newForwarder(ctx context.Context, self ml.VMID, sent *atomic.Int64) *Forwarder {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	fo := &Forwarder{
		Self: self, StartedAt: time.Now(), Exchanger: silentExchanger{sent, &atomic.Int64{}}, Catalog: &cataloger.Cataloger{Decoder: engineDecoder{}, Log: log}, Tracker: &tracker.Tracker{},
		Detector: &detector.Detector{}, Reacher: &reacher.Reacher{}, Log: log, Metrics: noMeter{}, NotifyPeers: func() {},
	}
	fo.Tracker.OnChange = fo.Wake
	fo.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: "e", Value: []byte("x")}}, nil)
	go func() { _ = fo.Run(ctx) }()
	return fo
}

// share delivers the changes of each entry VM to all others, as the sharer does.
func share(ctx context.Context, all []*Forwarder) {
	for ctx.Err() == nil {
		for _, from := range all {
			sm, found := from.Tracker.TakeChanges()
			if !found {
				continue
			}
			sm.From = from.Self
			for _, to := range all {
				if to != from {
					to.Tracker.ApplyPeerUpdate(time.Now(), sm)
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func request(slots int) *Request {
	now := time.Now()
	spec := &ml.ServiceSpec{Name: "lm", Engine: &ml.EngineProfile{Slots: slots, Memory: 100_000, StepsPerPass: 10, Chunk: 2048, Step: time.Millisecond, PrefillRate: 100_000}}
	return &Request{
		Route:   &ml.Route{Kind: ml.RouteStream, Resumable: true, MaxAttempts: 2, Target: 20 * time.Second, GapTarget: time.Second},
		Service: "lm", Spec: spec, Prompt: 1000, Answer: 100, Arrived: now, FirstEventTarget: now.Add(20 * time.Second),
		FirstEventDeadline: now.Add(40 * time.Second), Deadline: now.Add(40 * time.Second),
	}
}

// engineProfile describes an engine that processes 177 prompt tokens in a millisecond.
func engineProfile() *ml.EngineProfile {
	return &ml.EngineProfile{
		Slots: 16, Memory: 315_000, StepsPerPass: 51, Chunk: 2048, Step: 850 * time.Microsecond, StepPerSequence: 4 * time.Microsecond,
		StepPerKiloToken: 3 * time.Microsecond, PrefillRate: 177_000, PrefillPerMillionPairs: 184 * time.Microsecond,
	}
}

// unreachable is an endpoint that refuses connections.
type unreachable struct{ silentExchanger }

func (unreachable) Exchange(context.Context, ml.ListedEndpoint, *ml.OutboundRequest) (*ml.Answer, error) {
	return nil, &ml.Error{Type: ml.ErrUnavailable, Step: "dial", NotRun: true, Err: io.ErrClosedPipe}
}
