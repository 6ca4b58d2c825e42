package forwarder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

// serviceDecoder decodes the record "config" as a configuration with the service "lm", and
// each other one as a live engine of it.
type serviceDecoder struct {
	engineDecoder
	slots int
}

func (sd serviceDecoder) Config(re ml.KeyRecord) (ml.ServingConfig, bool, error) {
	return ml.ServingConfig{Version: 1, Services: []ml.ServiceSpec{*request(sd.slots).Spec}}, re.Key == "config", nil
}

// scheduledFleet is a fleet of entry VMs that ask each other to place requests. It implements
// ml.SchedulerPeers.
type scheduledFleet struct {
	all  []*Forwarder
	sent []*atomic.Int64 // by each entry VM
	at   []string        // address that each entry VM asks

	mu      sync.Mutex
	silent  map[string]bool // entry VMs that don't reply
	late    time.Duration   // by which replies come late
	replies int
}

// newScheduledFleet returns entry VMs before one engine. Entry VM 0 schedules for all.
func newScheduledFleet(ctx context.Context, vms, slots int) *scheduledFleet {
	sf := &scheduledFleet{silent: make(map[string]bool)}
	for i := range vms {
		sent := &atomic.Int64{}
		fo := newForwarder(ctx, ml.VMID(fmt.Sprint("vm", i)), sent)
		fo.Catalog = &cataloger.Cataloger{Decoder: serviceDecoder{slots: slots}, Log: fo.Log}
		fo.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "o", Key: "config", Value: []byte("x")}, {Topic: "t", Key: "e", Value: []byte("x")}}, nil)
		fo.Schedulers = sf
		fo.Scheduler = func(time.Time) (string, bool) {
			sf.mu.Lock()
			defer sf.mu.Unlock()
			return sf.at[i], sf.at[i] == string(fo.Self)
		}
		fo.SchedulerFailed = func(string, error) {}
		sf.all, sf.sent, sf.at = append(sf.all, fo), append(sf.sent, sent), append(sf.at, "vm0")
	}
	return sf
}

// ask makes an entry VM ask another one from now on.
func (sf *scheduledFleet) ask(i int, address string) {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	sf.at[i] = address
}

var errSilent = errors.New("no reply")

// Schedule implements ml.SchedulerPeers.
func (sf *scheduledFleet) Schedule(ctx context.Context, address string, rq ml.SharedPlacementRequest) (ml.SharedPlacement, error) {
	sf.mu.Lock()
	silent, late := sf.silent[address], sf.late
	sf.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ml.SharedPlacement{}, errSilent
	}
	for _, fo := range sf.all {
		if string(fo.Self) != address {
			continue
		}
		sp := fo.OnSchedule(ctx, rq)
		time.Sleep(late)
		sf.mu.Lock()
		sf.replies++
		sf.mu.Unlock()
		return sp, ctx.Err()
	}
	return ml.SharedPlacement{}, errSilent
}

// report passes the changes of all entry VMs to the scheduler until ctx ends.
func (sf *scheduledFleet) report(ctx context.Context, to *Forwarder) {
	for ctx.Err() == nil {
		for _, fo := range sf.all {
			sm, found := fo.Tracker.TakeChanges()
			if !found || fo == to {
				continue
			}
			sm.From = fo.Self
			to.Tracker.ApplyPeerUpdate(time.Now(), sm)
			to.OnWithdrawn(fo.Self, sm.Withdrawn)
		}
		time.Sleep(time.Millisecond)
	}
}

func (sf *scheduledFleet) totalSent() int64 {
	n := int64(0)
	for _, sent := range sf.sent {
		n += sent.Load()
	}
	return n
}

// TestSchedulerFillsEachSlotOnce guards against entry VMs that place more requests at an
// engine than it has slots, or leave one free, since each decides on old news of the others.
func TestSchedulerFillsEachSlotOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const vms, slots = 20, 6
	sf := newScheduledFleet(ctx, vms, slots)
	go sf.report(ctx, sf.all[0])
	for _, fo := range sf.all {
		go fo.Forward(ctx, request(slots), discardResponder{})
	}
	g.Eventually(sf.totalSent, "3s", "2ms").Should(gomega.Equal(int64(slots)))
	g.Consistently(sf.totalSent, "300ms", "10ms").Should(gomega.Equal(int64(slots)))
}

// TestSchedulerThatDoesNotReply checks that a request whose scheduler is frozen is placed by
// this entry VM itself within a short time, and sent once.
func TestSchedulerThatDoesNotReply(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sf := newScheduledFleet(ctx, 2, 6)
	sf.silent["vm0"] = true
	failed := atomic.Int64{}
	sf.all[1].SchedulerFailed = func(string, error) { failed.Add(1) }
	go sf.all[1].Forward(ctx, request(6), discardResponder{})
	g.Eventually(sf.sent[1].Load, maxSchedulers*(firstReplyTime+replyMargin)+time.Second, "2ms").Should(gomega.Equal(int64(1)))
	g.Expect(failed.Load()).To(gomega.Equal(int64(maxSchedulers)))
	g.Consistently(sf.sent[1].Load, "300ms", "10ms").Should(gomega.Equal(int64(1)))
}

// TestHandOverBetweenSchedulers guards against requests that are sent twice around a
// hand-over: the old scheduler decides late on what the new one has decided on meanwhile,
// and both act for a moment.
func TestHandOverBetweenSchedulers(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const requests = 20
	sf := newScheduledFleet(ctx, 3, 2*requests)
	sf.late = firstReplyTime + replyMargin + 50*time.Millisecond // of all replies so far
	fo := sf.all[2]
	fo.SchedulerFailed = func(string, error) {
		sf.ask(2, "vm1")
		sf.mu.Lock()
		sf.late = 0
		sf.mu.Unlock()
	}
	for range requests {
		go fo.Forward(ctx, request(2*requests), discardResponder{})
	}
	g.Eventually(sf.sent[2].Load, "3s", "2ms").Should(gomega.Equal(int64(requests)))
	g.Consistently(sf.sent[2].Load, "500ms", "10ms").Should(gomega.Equal(int64(requests)), "the old scheduler's decisions are late")
	g.Expect(len(fo.Tracker.Flights(time.Now())["e"])).To(gomega.Equal(requests))
}

// TestWithdrawnAtScheduler checks that neither a waiting request nor a flight remains at the
// scheduler when a caller leaves, at any moment.
func TestWithdrawnAtScheduler(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const slots = 2
	sf := newScheduledFleet(ctx, 2, slots)
	go sf.report(ctx, sf.all[0])
	for i := range 40 {
		rqCtx, leave := context.WithCancel(ctx)
		go sf.all[1].Forward(rqCtx, request(slots), discardResponder{})
		time.Sleep(time.Duration(i%8) * time.Millisecond)
		leave()
	}
	nothing := func() int {
		n := sf.all[0].QueueLength()
		for _, fo := range sf.all {
			n += len(fo.Tracker.Flights(time.Now())["e"])
		}
		return n
	}
	g.Eventually(nothing, "2s", "5ms").Should(gomega.BeZero())
}

// TestAskerThatDies checks that a request of an entry VM that died while it waited at the
// scheduler does not wait on.
func TestAskerThatDies(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const slots = 2
	sf := newScheduledFleet(ctx, 2, slots)
	for range slots {
		go sf.all[0].Forward(ctx, request(slots), discardResponder{})
	}
	g.Eventually(sf.totalSent, "2s", "2ms").Should(gomega.Equal(int64(slots)))
	rq := ml.SharedPlacementRequest{SharedQueuedRequest: ml.SharedQueuedRequest{ID: "dead-1", Service: "lm", Prompt: 1000, Answer: 100, FirstEventTargetMs: 20_000, FirstEventDeadlineMs: 40_000, GapTargetMs: 1000, Value: 1}, From: "dead", ReplyWithinMs: 1}
	g.Expect(sf.all[0].OnSchedule(ctx, rq).IsWaiting).To(gomega.BeTrue())
	g.Expect(sf.all[0].QueueLength()).To(gomega.Equal(1))
	g.Eventually(sf.all[0].QueueLength, askRetention+time.Second, "10ms").Should(gomega.BeZero())
}

// TestSchedulerKnowsNoService checks that an entry VM whose scheduler has an older
// configuration is refused at once, and not left to wait.
func TestSchedulerKnowsNoService(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sf := newScheduledFleet(ctx, 2, 6)
	sf.all[0].Catalog = &cataloger.Cataloger{Decoder: engineDecoder{}, Log: sf.all[0].Log}
	rq := request(6)
	it := sf.all[1].newOwnItem(time.Now(), rq)
	_, err := sf.all[1].placeBy(ctx, "vm0", it)
	var ue *unplaceableError
	g.Expect(errors.As(err, &ue)).To(gomega.BeTrue())
	g.Expect(ue.retryAfter).To(gomega.Equal(defaultRetryAfter))
}

// TestRejectedEndpoint checks that a decision for an endpoint that leaves is not used, and
// that the scheduler doesn't count it any longer.
func TestRejectedEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sf := newScheduledFleet(ctx, 2, 6)
	go sf.report(ctx, sf.all[0])
	sf.all[1].Catalog.RecordDeparture(time.Now(), ml.Departure{Endpoint: "e"})
	rq := request(6)
	rq.Route.Target = 100 * time.Millisecond
	it := sf.all[1].newOwnItem(time.Now(), rq)
	_, err := sf.all[1].placeBy(ctx, "vm0", it)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(func() int { return len(sf.all[0].Tracker.Flights(time.Now())["e"]) }, "2s", "5ms").Should(gomega.BeZero())
	g.Expect(sf.sent[1].Load()).To(gomega.BeZero())
}

// TestDecidedBetweenCalls guards against a slot that is lost, since the scheduler decides while
// no call waits for the decision: the next call gets it, and if none comes the slot is free
// again.
func TestDecidedBetweenCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sf := newScheduledFleet(ctx, 2, 2)
	fo := sf.all[0]
	for i := range 2 {
		fo.Tracker.AddPeerFlight(time.Now(), "other", ml.Flight{ID: ml.FlightID(fmt.Sprint("f", i)), Endpoint: "e", SentAt: time.Now(), FirstEventAt: time.Now(), DecodeTime: 10 * time.Second, Value: 1, GapTarget: time.Second})
	}
	// It can still be in time when the first slot becomes free, so that it waits.
	rq := ml.SharedPlacementRequest{SharedQueuedRequest: ml.SharedQueuedRequest{ID: "vm1-1", Service: "lm", Prompt: 1000, Answer: 100, FirstEventTargetMs: 20_000, FirstEventDeadlineMs: 40_000, GapTargetMs: 1000, Value: 1}, From: "vm1", ReplyWithinMs: 1}
	flights := func() int { return len(fo.Tracker.Flights(time.Now())["e"]) }
	for _, comesBack := range []bool{true, false} {
		g.Expect(fo.OnSchedule(ctx, rq).IsWaiting).To(gomega.BeTrue())
		fo.Tracker.EndPeerFlights("other", "f0")
		fo.Wake()
		g.Eventually(flights, "1s", "2ms").Should(gomega.Equal(2), "decided")
		if comesBack {
			sp := fo.OnSchedule(ctx, rq)
			g.Expect(sp.IsWaiting).To(gomega.BeFalse())
			g.Expect(sp.Endpoints).To(gomega.HaveLen(1))
			g.Expect(fo.Tracker.RecentSends(time.Now(), "e")).To(gomega.Equal(3), "placed once")
			fo.Tracker.AddPeerFlight(time.Now(), "other", ml.Flight{ID: "f0", Endpoint: "e", SentAt: time.Now(), FirstEventAt: time.Now(), DecodeTime: 10 * time.Second, Value: 1, GapTarget: time.Second})
			fo.Tracker.EndPeerFlights("vm1", "vm1-1")
			rq.ID = "vm1-2"
			continue
		}
		g.Eventually(flights, askRetention+time.Second, "10ms").Should(gomega.Equal(1), "nobody asked for the decision")
	}
}

// TestDecisionsWithinShares guards against a cold engine that is flooded by the decisions of
// schedulers: however many decide, and whatever they know, an entry VM uses no more than its
// own share of the engine's rate. Both decisions were asked for before the first one came.
func TestDecisionsWithinShares(t *testing.T) {
	g := gomega.NewWithT(t)
	cf := newColdFleet(1, 1, 1)
	fo, now := cf.all[0], cf.start.Add(time.Minute)
	fo.ColdOverage, fo.ColdSlack = 1, 0
	sp := ml.SharedPlacement{Endpoints: []ml.EndpointRef{{ID: "e0"}}}
	items := []*item{}
	for range 2 {
		rq := request(16)
		rq.Spec.ColdRate = 1
		items = append(items, fo.newOwnItem(now, rq))
	}
	excluded := func() []ml.EndpointID {
		pr := fo.placementRequest(now, items[1], nil)
		return pr.Excluded
	}
	g.Expect(excluded()).To(gomega.BeEmpty())
	g.Expect(fo.accept(now, items[0], &sp)).NotTo(gomega.BeNil())
	g.Expect(fo.accept(now, items[1], &sp)).To(gomega.BeNil(), "the share is used")
	g.Expect(excluded()).To(gomega.ConsistOf(ml.EndpointID("e0")), "so the next scheduler is told")
	g.Expect(fo.Tracker.Flights(now)["e0"]).To(gomega.HaveLen(1))
}

// TestAskNamesTheFewer checks that an ask names the endpoints that may be used where they are
// fewer, as in a large fleet, and that both forms mean the same to the scheduler.
func TestAskNamesTheFewer(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, used := range []int{0, 3, 17, 20} {
		cf := newColdFleet(1, 1, 20)
		fo, now := cf.all[0], cf.start.Add(time.Minute)
		fo.ColdOverage, fo.ColdSlack = 1, 0
		rq := request(16)
		rq.Spec.ColdRate = 1
		for i := range used {
			fo.Tracker.AddFlight(now, ml.Flight{ID: ml.FlightID(fmt.Sprint("f", i)), Endpoint: cf.engines[i], SentAt: now})
		}
		pr := fo.placementRequest(now, fo.newOwnItem(now, rq), nil)
		g.Expect(len(pr.Excluded) + len(pr.Allowed)).To(gomega.Equal(map[int]int{0: 0, 3: 3, 17: 3, 20: 20}[used]))
		it := newAskedItem(now, &pr, rq.Spec)
		for i, id := range cf.engines {
			g.Expect(it.isExcluded(id)).To(gomega.Equal(i < used))
		}
	}
}
