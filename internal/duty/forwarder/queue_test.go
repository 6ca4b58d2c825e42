package forwarder

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

// oneEngine lists a single engine of service "lm", whatever the record.
type oneEngine struct{}

func (oneEngine) Config(ml.KeyRecord) (ml.ServingConfig, bool, error) {
	return ml.ServingConfig{}, false, nil
}
func (oneEngine) Domain(ml.KeyRecord) (ml.DomainID, bool) { return "", false }
func (oneEngine) Endpoint(re ml.KeyRecord) (ml.ListedEndpoint, bool, error) {
	return ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: ml.EndpointID(re.Key), Service: "lm", State: ml.StateLive}}, true, nil
}

// mute counts what is sent to it and what of that is given up, and never
// answers.
type mute struct{ sent, left *atomic.Int64 }

func (mu mute) Exchange(ctx context.Context, _ ml.ListedEndpoint, _ *ml.OutboundRequest) (*ml.Answer, error) {
	mu.sent.Add(1)
	<-ctx.Done()
	mu.left.Add(1)
	return nil, ctx.Err()
}

func (mute) ReserveMemory(context.Context, ml.ListedEndpoint, ml.HoldID, ml.Tokens, time.Duration) error {
	return nil
}
func (mute) ReleaseMemory(context.Context, ml.ListedEndpoint, ml.HoldID) error { return nil }

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) Finished(*Request, string, time.Duration)          {}
func (noMeter) Placed(*Request, time.Duration)                    {}
func (noMeter) Sent(*Request, int)                                {}
func (noMeter) FirstEvent(*Request, time.Duration, time.Duration) {}

// noAnswer takes answers.
type noAnswer struct{}

func (noAnswer) Begin(int, http.Header, int64) error { return nil }
func (noAnswer) Write([]byte) error                  { return nil }
func (noAnswer) Refuse(ml.Refusal)                   {}
func (noAnswer) Abort()                              {}

// TestOnePlaceFree replays what a wave of short prompts does: one waits at each
// of several entry VMs when one place at an engine becomes free, and all hear of
// it at the same moment. Only one of them may take it.
func TestOnePlaceFree(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const vms, places = 6, 4
	sent := &atomic.Int64{}
	all := make([]*Forwarder, vms)
	for i := range all {
		all[i] = newForwarder(ctx, ml.VMID(fmt.Sprintf("vm%d", i)), sent)
	}
	go share(ctx, all)
	full := ml.ShareMessage{From: "other", Full: true}
	for i := range places - 1 {
		full.Flights = append(full.Flights, ml.SharedFlight{ID: ml.FlightID(fmt.Sprint("f", i)), Endpoint: "e", FirstEventAgeMs: 1, DecodeMs: 60_000, GapTargetMs: 1000, Value: 1})
	}
	for _, fo := range all {
		fo.Tracker.ApplyPeerUpdate(time.Now(), full)
		go fo.Forward(ctx, request(places), noAnswer{})
	}
	for _, fo := range all {
		g.Eventually(func() int { return len(fo.Tracker.WaitingAtPeers(time.Now())) }, "2s", "2ms").Should(gomega.Equal(vms - 1))
	}
	for _, fo := range all {
		go fo.Tracker.ApplyPeerUpdate(time.Now(), ml.ShareMessage{From: "other", Ended: []ml.FlightID{"f0"}})
	}
	g.Eventually(sent.Load, "2s", "1ms").Should(gomega.Equal(int64(1)))
	g.Consistently(sent.Load, "300ms", "5ms").Should(gomega.Equal(int64(1)))
}

// TestPeerThatDoesNotPlace checks that a request of an entry VM which does not
// place it, though it goes first, holds up ours only for a moment.
func TestPeerThatDoesNotPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := &atomic.Int64{}
	fo := newForwarder(ctx, "vm", sent)
	const places = 2 // one is kept free
	stuck := ml.SharedQueuedRequest{ID: "stuck", Service: "lm", Prompt: 1000, Answer: 100, FirstEventTargetMs: 20_000, FirstEventDeadlineMs: 40_000, GapTargetMs: 1000, Value: 1, Rank: 1}
	go func() {
		for ctx.Err() == nil {
			fo.Tracker.ApplyPeerUpdate(time.Now(), ml.ShareMessage{From: "other", Full: true, Waiting: []ml.SharedQueuedRequest{stuck}})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	g.Eventually(func() int { return len(fo.Tracker.WaitingAtPeers(time.Now())) }, "1s", "1ms").Should(gomega.Equal(1))
	go fo.Forward(ctx, request(places), noAnswer{})
	g.Eventually(sent.Load, "500ms", "2ms").Should(gomega.Equal(int64(1)))
}

// TestWithdrawn checks that a caller who leaves while its request is being placed
// leaves no flight behind, whichever comes first.
func TestWithdrawn(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, leavesFirst := range []bool{true, false} {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		fo := &Forwarder{Tracker: &tracker.Tracker{}, Log: log}
		result := make(chan outcome, 1)
		it := &item{id: "it", result: result}
		g.Expect(fo.queue.add(it)).To(gomega.BeTrue())
		fo.Tracker.AddFlight(time.Now(), ml.Flight{ID: "f", Endpoint: "e", SentAt: time.Now()})
		ou := outcome{placement: &placement{flights: []ml.FlightID{"f"}}}
		if leavesFirst {
			fo.withdraw(it, result)
			fo.deliver(it, ou)
		} else {
			fo.deliver(it, ou)
			fo.withdraw(it, result)
		}
		g.Expect(fo.Tracker.Flights(time.Now())).To(gomega.BeEmpty())
		g.Expect(fo.QueueLength()).To(gomega.BeZero())
	}
}

// TestSilentEngineIsKept checks that an engine which is silent for long is not
// left when there is no other that could go on.
func TestSilentEngineIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := &atomic.Int64{}
	fo := newForwarder(ctx, "vm", sent)
	rq := request(16)
	rq.Route.GapTarget = 250 * time.Millisecond
	left := &atomic.Int64{}
	fo.Exchanger = mute{sent, left}
	go fo.Forward(ctx, rq, noAnswer{})
	g.Eventually(sent.Load, "1s", "2ms").Should(gomega.Equal(int64(1)))
	g.Consistently(left.Load, firstMargin+gapLeast, "20ms").Should(gomega.BeZero())
}

// TestBrokenStreamGoesOn checks that a stream which broke off is not late before
// its caller gives up on the pause: else, with all engines busy, going on would
// count as lost.
func TestBrokenStreamGoesOn(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	rq := request(16)
	rq.Route.GapTarget = 250 * time.Millisecond
	rq.Arrived, rq.FirstEventTarget, rq.FirstEventDeadline, rq.Deadline = now.Add(-5*time.Second), now.Add(-4*time.Second), now.Add(-3*time.Second), now.Add(10*time.Second)
	rq.begun, rq.latest = true, now.Add(-100*time.Millisecond)
	busy := make([]placer.Candidate, 3)
	for i := range busy {
		part := ml.Flight{ID: "part", SentAt: now, PrefillTime: time.Second, Partial: true, Helper: true, Value: 5, FirstEventDeadline: now.Add(time.Second), FirstEventTarget: now.Add(time.Second)}
		busy[i].Flights = []ml.Flight{part}
	}
	ask := rq.ask("d")
	ch := placer.Choose(now, &ask, busy)
	g.Expect(ch.Refused).To(gomega.BeFalse())
	g.Expect(ask.FirstEventDeadline).To(gomega.BeTemporally("==", rq.latest.Add(2*time.Second)))
}

func newForwarder(ctx context.Context, self ml.VMID, sent *atomic.Int64) *Forwarder {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	fo := &Forwarder{
		Self: self, StartedAt: time.Now(), Exchanger: mute{sent, &atomic.Int64{}}, Catalog: &cataloger.Cataloger{Decoder: oneEngine{}, Log: log}, Tracker: &tracker.Tracker{},
		Detector: &detector.Detector{}, Log: log, Metrics: noMeter{}, NotifyPeers: func() {},
	}
	fo.Tracker.OnChange = fo.Wake
	fo.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: "e", Value: []byte("x")}}, nil)
	go func() { _ = fo.Run(ctx) }()
	return fo
}

// share tells each entry VM what the others have changed, as the sharer does.
func share(ctx context.Context, all []*Forwarder) {
	for ctx.Err() == nil {
		for _, from := range all {
			sh, any := from.Tracker.TakeChanges()
			if !any {
				continue
			}
			sh.From = from.Self
			for _, to := range all {
				if to != from {
					to.Tracker.ApplyPeerUpdate(time.Now(), sh)
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func request(places int) *Request {
	now := time.Now()
	spec := &ml.ServiceSpec{Name: "lm", Engine: &ml.EngineProfile{Slots: places, Memory: 100_000, StepsPerPass: 10, Chunk: 2048, Step: time.Millisecond, PrefillRate: 100_000}}
	return &Request{
		Route:   &ml.Route{Kind: ml.RouteStream, Resumable: true, MaxAttempts: 2, Target: 20 * time.Second, GapTarget: time.Second},
		Service: "lm", Spec: spec, Prompt: 1000, Answer: 100, Arrived: now, FirstEventTarget: now.Add(20 * time.Second),
		FirstEventDeadline: now.Add(40 * time.Second), Deadline: now.Add(40 * time.Second),
	}
}

// TestLateGoBehind replays a wave of short prompts that fills all places: one that has
// waited too long to be in time at a busy engine goes behind one that still can
// be, though it would be in time at an idle one.
func TestLateGoBehind(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	wait := func(id ml.FlightID, left time.Duration) *item {
		ask := placer.Request{Profile: figures(), Prompt: 5000, Answer: 1600, FirstEventTarget: now.Add(left)}
		return &item{id: id, ask: ask, urgency: ask.LatestStart(), order: ask.LatestStart().UnixMilli()}
	}
	items := []*item{wait("late", 60*time.Millisecond), wait("new", 280*time.Millisecond), wait("next", 200*time.Millisecond)}
	sortItems(items, now)
	g.Expect([]ml.FlightID{items[0].id, items[1].id, items[2].id}).To(gomega.Equal([]ml.FlightID{"next", "new", "late"}))
}

// figures are those of an engine that reads 177 tokens in a millisecond.
func figures() *ml.EngineProfile {
	return &ml.EngineProfile{
		Slots: 16, Memory: 315_000, StepsPerPass: 51, Chunk: 2048, Step: 850 * time.Microsecond, StepPerSequence: 4 * time.Microsecond,
		StepPerKiloToken: 3 * time.Microsecond, PrefillRate: 177_000, PrefillPerMillionPairs: 184 * time.Microsecond,
	}
}

// unreachable is an endpoint that takes no connections.
type unreachable struct{ mute }

func (unreachable) Exchange(context.Context, ml.ListedEndpoint, *ml.OutboundRequest) (*ml.Answer, error) {
	return nil, &ml.Error{Type: ml.ErrUnavailable, Step: "dial", NotRun: true, Err: io.ErrClosedPipe}
}

// TestUnreachableIsTold checks that one entry VM's finding that an engine can't be
// reached is told to the others, which otherwise try it each by itself.
func TestUnreachableIsTold(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fo := newForwarder(ctx, "vm", &atomic.Int64{})
	fo.Exchanger = unreachable{}
	rq := request(16)
	rq.Deadline = time.Now().Add(300 * time.Millisecond)
	fo.Forward(ctx, rq, noAnswer{})
	sh, _ := fo.Tracker.TakeChanges()
	g.Expect(sh.Failed).To(gomega.ContainElement(ml.EndpointID("e")))
}

// TestCrowdedLeavesPlaces checks that in a large fleet, where news is too old to
// foresee what others do, a request leaves the places there are to those that
// wait elsewhere and go before it.
func TestCrowdedLeavesPlaces(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := &atomic.Int64{}
	fo := newForwarder(ctx, "vm", sent)
	fo.PropagationDelay = func() time.Duration { return 2 * believePeer }
	const places = 2
	tell := func(waiting ...ml.SharedQueuedRequest) {
		fo.Tracker.ApplyPeerUpdate(time.Now(), ml.ShareMessage{From: "other", Full: true, Waiting: waiting})
	}
	first := ml.SharedQueuedRequest{ID: "1", Service: "lm", Prompt: 1000, Answer: 100, FirstEventTargetMs: 20_000, FirstEventDeadlineMs: 40_000, GapTargetMs: 1000, Value: 1, Rank: 1}
	second := first
	second.ID, second.Rank = "2", 2
	tell(first, second)
	go fo.Forward(ctx, request(places), noAnswer{})
	g.Consistently(sent.Load, "300ms", "5ms").Should(gomega.BeZero())
	tell(second)
	g.Eventually(sent.Load, "2s", "2ms").Should(gomega.Equal(int64(1)))
}

// TestColdLeavesRoomForUnseen checks that the rate of an engine that may be cold
// is not used up by what this entry VM knows of, where much is not seen yet.
func TestColdLeavesRoomForUnseen(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	fo := &Forwarder{Tracker: &tracker.Tracker{}}
	rq := request(16)
	rq.Spec.ColdRate = 15
	li := cataloger.Listing{ListedEndpoint: ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: "e"}}}
	g.Expect(fo.full(now, rq, li, 100)).To(gomega.BeFalse(), "some go there all the same")
	for i := range 6 {
		fo.Tracker.AddFlight(now, ml.Flight{ID: ml.FlightID(fmt.Sprint(i)), Endpoint: "e", SentAt: now})
	}
	g.Expect(fo.full(now, rq, li, 0)).To(gomega.BeFalse())
	g.Expect(fo.full(now, rq, li, 5)).To(gomega.BeFalse())
	g.Expect(fo.full(now, rq, li, 12)).To(gomega.BeTrue())
}
