package forwarder

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

// TestOneFreeSlot guards against several entry VMs filling the same free slot. One
// request waits at each of them when one slot of an engine becomes free, and all
// learn of it at the same time, as in a burst of short prompts.
func TestOneFreeSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const vms, slots = 6, 4
	sent := &atomic.Int64{}
	all := make([]*Forwarder, vms)
	for i := range all {
		all[i] = newForwarder(ctx, ml.VMID(fmt.Sprintf("vm%d", i)), sent)
	}
	go share(ctx, all)
	full := ml.ShareMessage{From: "other", Full: true}
	for i := range slots - 1 {
		full.Flights = append(full.Flights, ml.SharedFlight{ID: ml.FlightID(fmt.Sprint("f", i)), Endpoint: "e", FirstEventAgeMs: 1, DecodeMs: 60_000, GapTargetMs: 1000, Value: 1})
	}
	for _, fo := range all {
		fo.Tracker.ApplyPeerUpdate(time.Now(), full)
		go fo.Forward(ctx, request(slots), discardResponder{})
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

// TestPeerThatDoesNotPlace checks that a more urgent request of a peer that never
// places it delays our own request only briefly.
func TestPeerThatDoesNotPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := &atomic.Int64{}
	fo := newForwarder(ctx, "vm", sent)
	const slots = 2 // the placer keeps one free
	stuck := ml.SharedQueuedRequest{ID: "stuck", Service: "lm", Prompt: 1000, Answer: 100, FirstEventTargetMs: 20_000, FirstEventDeadlineMs: 40_000, GapTargetMs: 1000, Value: 1, SortKey: 1}
	go func() {
		for ctx.Err() == nil {
			fo.Tracker.ApplyPeerUpdate(time.Now(), ml.ShareMessage{From: "other", Full: true, Waiting: []ml.SharedQueuedRequest{stuck}})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	g.Eventually(func() int { return len(fo.Tracker.WaitingAtPeers(time.Now())) }, "1s", "1ms").Should(gomega.Equal(1))
	go fo.Forward(ctx, request(slots), discardResponder{})
	g.Eventually(sent.Load, "500ms", "2ms").Should(gomega.Equal(int64(1)))
}

// TestWithdraw checks that no flight remains when a caller disconnects while its
// request is being placed, in either order.
func TestWithdraw(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, withdrawFirst := range []bool{true, false} {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		fo := &Forwarder{Tracker: &tracker.Tracker{}, Log: log}
		result := make(chan decision, 1)
		it := &item{id: "it", result: result}
		g.Expect(fo.enqueue(time.Now(), it)).To(gomega.BeTrue())
		fo.Tracker.AddFlight(time.Now(), ml.Flight{ID: "f", Endpoint: "e", SentAt: time.Now()})
		de := decision{placement: &placement{flights: []ml.FlightID{"f"}}}
		if withdrawFirst {
			fo.withdraw(it, result)
			fo.deliver(it, de)
		} else {
			fo.deliver(it, de)
			fo.withdraw(it, result)
		}
		g.Expect(fo.Tracker.Flights(time.Now())).To(gomega.BeEmpty())
		g.Expect(fo.QueueLength()).To(gomega.BeZero())
	}
}

// TestSilentEngineIsKept checks that an attempt at an engine that sends no events
// is not cancelled while no other engine could continue it.
func TestSilentEngineIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := &atomic.Int64{}
	fo := newForwarder(ctx, "vm", sent)
	rq := request(16)
	rq.Route.GapTarget = 250 * time.Millisecond
	cancelled := &atomic.Int64{}
	fo.Exchanger = silentExchanger{sent, cancelled}
	go fo.Forward(ctx, rq, discardResponder{})
	g.Eventually(sent.Load, "1s", "2ms").Should(gomega.Equal(int64(1)))
	g.Consistently(cancelled.Load, firstEventMargin+minGapTimeout, "20ms").Should(gomega.BeZero())
}

// TestBrokenStreamResumes checks that an interrupted stream counts as late only when
// its caller stops waiting for the next event. Otherwise it could not be resumed
// while all engines are busy, since its original objective has passed.
func TestBrokenStreamResumes(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	rq := request(16)
	rq.Route.GapTarget = 250 * time.Millisecond
	rq.Arrived, rq.FirstEventTarget, rq.FirstEventDeadline, rq.Deadline = now.Add(-5*time.Second), now.Add(-4*time.Second), now.Add(-3*time.Second), now.Add(10*time.Second)
	rq.headSent, rq.lastEventAt = true, now.Add(-100*time.Millisecond)
	busy := make([]placer.Candidate, 3)
	for i := range busy {
		part := ml.Flight{ID: "part", SentAt: now, PrefillTime: time.Second, Partial: true, Helper: true, Value: 5, FirstEventDeadline: now.Add(time.Second), FirstEventTarget: now.Add(time.Second)}
		busy[i].Flights = []ml.Flight{part}
	}
	pr := rq.placerRequest("d")
	ch := placer.Choose(now, &pr, busy)
	g.Expect(ch.Refused).To(gomega.BeFalse())
	g.Expect(pr.FirstEventDeadline).To(gomega.BeTemporally("==", rq.lastEventAt.Add(2*time.Second)))
}

// TestLateRequestsSortLast checks the order when a burst of short prompts has filled
// all slots. A request that has waited too long to be in time at a busy engine comes
// after those that still can be, even if an idle engine could serve it in time.
func TestLateRequestsSortLast(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	queued := func(id ml.FlightID, timeLeft time.Duration) *item {
		pr := placer.Request{Profile: engineProfile(), Prompt: 5000, Answer: 1600, FirstEventTarget: now.Add(timeLeft)}
		return &item{id: id, placerReq: pr, latestStart: pr.LatestStart(), sortKey: pr.LatestStart().UnixMilli()}
	}
	items := []*item{queued("late", 60*time.Millisecond), queued("new", 280*time.Millisecond), queued("next", 200*time.Millisecond)}
	sortByUrgency(items, now)
	g.Expect([]ml.FlightID{items[0].id, items[1].id, items[2].id}).To(gomega.Equal([]ml.FlightID{"next", "new", "late"}))
}

// TestUnreachableIsShared checks that an entry VM that can't reach an engine reports
// this to the others. Otherwise each of them would send a request there first.
func TestUnreachableIsShared(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fo := newForwarder(ctx, "vm", &atomic.Int64{})
	fo.Exchanger = unreachable{}
	rq := request(16)
	rq.Deadline = time.Now().Add(300 * time.Millisecond)
	fo.Forward(ctx, rq, discardResponder{})
	sm, _ := fo.Tracker.TakeChanges()
	g.Expect(sm.Failed).To(gomega.ContainElement(ml.EndpointID("e")))
}

// TestStalePeersGoFirst checks that in a large fleet, where updates are too old to
// predict the placements of peers, a request leaves the free slots to more urgent
// requests that wait at other entry VMs.
func TestStalePeersGoFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := &atomic.Int64{}
	fo := newForwarder(ctx, "vm", sent)
	fo.PropagationDelay = func() time.Duration { return 2 * peerPlacementTimeout }
	const slots = 2
	update := func(waiting ...ml.SharedQueuedRequest) {
		fo.Tracker.ApplyPeerUpdate(time.Now(), ml.ShareMessage{From: "other", Full: true, Waiting: waiting})
	}
	first := ml.SharedQueuedRequest{ID: "1", Service: "lm", Prompt: 1000, Answer: 100, FirstEventTargetMs: 20_000, FirstEventDeadlineMs: 40_000, GapTargetMs: 1000, Value: 1, SortKey: 1}
	second := first
	second.ID, second.SortKey = "2", 2
	update(first, second)
	go fo.Forward(ctx, request(slots), discardResponder{})
	g.Consistently(sent.Load, "300ms", "5ms").Should(gomega.BeZero())
	update(second)
	g.Eventually(sent.Load, "2s", "2ms").Should(gomega.Equal(int64(1)))
}
