package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
)

// pausingExchanger answers with streams. At the engine "e" each pauses after its first event, as
// while the engine reads a long prompt; at another one they last for long.
type pausingExchanger struct {
	silentExchanger
	pause time.Duration
	begin <-chan struct{} // closed when all streams begin, so that their time-outs end together
	moved *atomic.Int64   // streams that were resumed
}

// pausedEvents is the number of events of each stream, and movedEventInterval the time between
// two of them at an engine that took it over.
const pausedEvents, movedEventInterval = 4, 700 * time.Millisecond

// Exchange implements ml.Exchanger.
func (pe pausingExchanger) Exchange(ctx context.Context, ep ml.ListedEndpoint, out *ml.OutboundRequest) (*ml.Answer, error) {
	pe.sent.Add(1)
	if out.LastEventID > 0 {
		pe.moved.Add(1)
	}
	rd, wr := io.Pipe()
	stop := context.AfterFunc(ctx, func() { _ = wr.CloseWithError(context.Cause(ctx)) })
	go pe.write(wr, ep.ID, out.LastEventID)
	return &ml.Answer{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1, Body: rd, Sealed: true,
		Close: func() {
			stop()
			_ = rd.Close()
		},
	}, nil
}

// write writes the events after one. It stops when the reader does.
func (pe pausingExchanger) write(wr *io.PipeWriter, at ml.EndpointID, after ml.EventID) {
	<-pe.begin
	for id := after + 1; id <= pausedEvents; id++ {
		switch {
		case id == 2 && at == "e":
			time.Sleep(pe.pause)
		case at != "e":
			time.Sleep(movedEventInterval)
		}
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: x\n\n", id); err != nil {
			return
		}
	}
	_ = wr.Close()
}

// endRecorder counts how answers end.
type endRecorder struct {
	discardResponder
	aborted, refused *atomic.Int64
}

// Abort implements ml.Responder.
func (er endRecorder) Abort() { er.aborted.Add(1) }

// Refuse implements ml.Responder.
func (er endRecorder) Refuse(ml.Refusal) { er.refused.Add(1) }

// pausedStream returns a stream whose engine counts as silent after a second.
func pausedStream(slots int) *Request {
	rq := request(slots)
	rq.Route.GapTarget = 100 * time.Millisecond
	rq.FirstEventDeadline = rq.Arrived.Add(2 * time.Second)
	return rq
}

// addOtherEngine lists another engine, all of whose slots but some are taken for long.
func addOtherEngine(fo *Forwarder, slots, free int) {
	now := time.Now()
	for i := range slots - free {
		fo.Tracker.AddFlight(now, ml.Flight{
			ID: ml.FlightID(fmt.Sprintf("%s-taken-%d", fo.Self, i)), Endpoint: "other", SentAt: now, FirstEventAt: now, DecodeTime: time.Minute,
			Memory: 100, FirstEventTarget: now, FirstEventDeadline: now, GapTarget: time.Second,
		})
	}
	fo.Catalog.Merge(now, []ml.KeyRecord{{Topic: "t", Key: "other", Value: []byte("x"), Offset: 1}}, nil)
}

// TestSilentEngineIsLeftForOwnPlace guards against streams that all leave a sound engine, which is
// silent while it reads a long prompt, for the same free place elsewhere: all but one would end in
// their middle. The entry VMs decide by what they tell each other, or ask a scheduler.
func TestSilentEngineIsLeftForOwnPlace(t *testing.T) {
	const slots, streams = 16, 12
	for _, vms := range []int{1, 3} {
		for _, isScheduled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d entry VMs, scheduled %t", vms, isScheduled), func(t *testing.T) {
				g := gomega.NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				sent, moved, begin := &atomic.Int64{}, &atomic.Int64{}, make(chan struct{})
				sf := newScheduledFleet(ctx, vms, slots)
				for _, fo := range sf.all {
					fo.Exchanger = pausingExchanger{silentExchanger{sent, &atomic.Int64{}}, 1800 * time.Millisecond, begin, moved}
					if !isScheduled {
						fo.Scheduler = nil
					}
				}
				if isScheduled {
					go sf.report(ctx, sf.all[0])
				} else {
					go share(ctx, sf.all)
				}
				er, ended := endRecorder{aborted: &atomic.Int64{}, refused: &atomic.Int64{}}, make(chan struct{}, streams)
				for i := range streams {
					go func() {
						sf.all[i%vms].Forward(ctx, pausedStream(slots), er)
						ended <- struct{}{}
					}()
				}
				g.Eventually(sent.Load, "1s", "1ms").Should(gomega.Equal(int64(streams)))
				free := 2 // an entry VM keeps a slot of each engine free
				if isScheduled {
					free = 1
				}
				addOtherEngine(sf.all[0], slots, free)
				for _, fo := range sf.all[1:] {
					fo.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: "other", Value: []byte("x"), Offset: 1}}, nil)
				}
				close(begin)
				for range streams {
					g.Eventually(ended, "10s").Should(gomega.Receive())
				}
				g.Expect(er.aborted.Load()+er.refused.Load()).To(gomega.BeZero(), "streams that end in their middle")
				g.Expect(moved.Load()).To(gomega.Equal(int64(1)), "streams that move to the free place")
			})
		}
	}
}

// TestBusyEngineIsKept guards against streams that leave a sound engine while it prefills a part of
// a long prompt, of which only the one that places prompts knows. Without such work the engine is
// left as soon as it counts as silent.
func TestBusyEngineIsKept(t *testing.T) {
	for _, isScheduled := range []bool{false, true} {
		for _, isBusy := range []bool{true, false} {
			t.Run(fmt.Sprintf("scheduled %t, busy %t", isScheduled, isBusy), func(t *testing.T) {
				g := gomega.NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				sent, moved, begin := &atomic.Int64{}, &atomic.Int64{}, make(chan struct{})
				close(begin)
				sf := newScheduledFleet(ctx, 2, 16)
				fo := sf.all[1]
				fo.Exchanger = pausingExchanger{silentExchanger{sent, &atomic.Int64{}}, 1500 * time.Millisecond, begin, moved}
				scheduler := sf.all[0]
				if isScheduled {
					go sf.report(ctx, sf.all[0])
				} else {
					scheduler, fo.Scheduler = fo, nil
				}
				rq := pausedStream(16)
				rq.FirstEventDeadline = rq.Arrived.Add(6 * time.Second)
				ended := make(chan struct{})
				go func() {
					fo.Forward(ctx, rq, discardResponder{})
					close(ended)
				}()
				g.Eventually(sent.Load, "1s", "1ms").Should(gomega.Equal(int64(1)))
				if isBusy {
					scheduler.Tracker.AddFlight(time.Now(), ml.Flight{ID: "long-1~1", Endpoint: "e", SentAt: time.Now(), PrefillTime: 1300 * time.Millisecond, Partial: true, Helper: true})
				}
				for _, fo := range sf.all {
					fo.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: "other", Value: []byte("x"), Offset: 1}}, nil)
				}
				g.Eventually(ended, "10s").Should(gomega.BeClosed())
				g.Expect(moved.Load() == 0).To(gomega.Equal(isBusy))
			})
		}
	}
}
