package forwarder

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/attributor"
	"github.com/mulberrylever/mulberrylever/internal/decision/diagnoser"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

// TestKnownColdRate checks that an engine that may be cold gets no more requests than a
// cold one sustains, if they are known.
func TestKnownColdRate(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	fo := &Forwarder{Tracker: &tracker.Tracker{}}
	rq := request(16)
	rq.Spec.ColdRate = 15
	li := cataloger.Listing{ListedEndpoint: ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: "e"}}}
	for i := range 15 {
		g.Expect(fo.coldRateReached(now, rq, li)).To(gomega.BeFalse())
		fo.Tracker.AddFlight(now, ml.Flight{ID: ml.FlightID(fmt.Sprint(i)), Endpoint: "e", SentAt: now})
	}
	g.Expect(fo.coldRateReached(now, rq, li)).To(gomega.BeTrue())
	g.Expect(fo.coldRateReached(now.Add(time.Second), rq, li)).To(gomega.BeFalse())
}

// TestRetryBudgetOfFleet guards against entry VMs that together retry more than the
// budget of the fleet allows, when requests fail at all of them in the same window.
func TestRetryBudgetOfFleet(t *testing.T) {
	const burst = 150
	cf := newColdFleet(3, 29, 0)
	retries := 0
	for _, fo := range cf.all {
		fo.RetryBurst = burst
		for range burst {
			if fo.allowRetry(cf.start, "lm") {
				retries++
			}
		}
	}
	if retries != burst {
		t.Errorf("the entry VMs retry %d times without new requests, want %d", retries, burst)
	}
}

// TestResumeNeedsShare guards against a stream that is taken from its silent engine
// although the share of every other engine is used: it could not go on anywhere.
func TestResumeNeedsShare(t *testing.T) {
	cf := newColdFleet(1, 1, 2)
	fo, now := cf.all[0], cf.start.Add(time.Minute)
	rq := request(12)
	rq.Spec.ColdRate = 1
	fo.ColdOverage, fo.ColdSlack = 1, 0
	rq.Arrived, rq.FirstEventDeadline = now, now.Add(4*time.Second)
	from := &placement{lead: ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: "e0"}}, flights: []ml.FlightID{"vm0-1~0"}}
	pl, _ := fo.reservePlace(t.Context(), now, rq, from, diagnoser.Silence{})
	if pl == nil || pl.lead.ID != "e1" {
		t.Fatal("the stream can't go on at the other engine")
	}
	now = now.Add(time.Minute)
	fo.endFlights(pl)
	fo.Tracker.AddFlight(now, ml.Flight{ID: "f", Endpoint: "e1", SentAt: now})
	if again, _ := fo.reservePlace(t.Context(), now, rq, from, diagnoser.Silence{}); again != nil {
		t.Error("the stream is taken from its engine, but could not go on at the other one")
	}
}

// TestServiceShareTakenOnce guards against calls to a plain service that are placed at
// the same moment and take the same part of this entry VM's share.
func TestServiceShareTakenOnce(t *testing.T) {
	const rounds, calls, share = 100, 64, 1
	for range rounds {
		cf := newColdFleet(1, 1, 1)
		fo, now := cf.all[0], cf.start.Add(time.Minute)
		fo.ColdOverage, fo.ColdSlack = 1, 0
		placed := atomic.Int64{}
		wg, begin := sync.WaitGroup{}, make(chan struct{})
		for range calls {
			wg.Go(func() {
				rq := request(1)
				rq.Spec.ColdRate, rq.Spec.Engine = share, nil
				<-begin
				if fo.chooseService(now, rq, false, "") != nil {
					placed.Add(1)
				}
			})
		}
		close(begin)
		wg.Wait()
		if n := placed.Load(); n != share {
			t.Fatalf("%d calls were placed at once, the share is %d", n, share)
		}
	}
}

// TestKnownColdEngineShares checks what a fleet sends to an engine that is known to be
// cold: the rate that it sustains, and nothing from entry VMs that may not know the
// others yet.
func TestKnownColdEngineShares(t *testing.T) {
	for _, isSettled := range []bool{true, false} {
		cf := newColdFleet(3, 29, 0)
		now := cf.start.Add(time.Minute)
		li := cataloger.Listing{ListedEndpoint: ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: "e"}}, ColdUntil: now.Add(time.Second)}
		spec := &ml.ServiceSpec{ColdRate: coldRate}
		sent := 0
		for _, fo := range cf.all {
			view := fo.Membership(now)
			view.Settled = isSettled
			fo.Membership = func(time.Time) ml.Membership { return view }
			for ; !fo.coldShareUsed(now, spec, li); sent++ {
				fo.Tracker.AddFlight(now, ml.Flight{ID: ml.FlightID(fmt.Sprint(sent)), Endpoint: "e", SentAt: now})
			}
		}
		want := 0
		if isSettled {
			want = coldRate
		}
		if sent != want {
			t.Errorf("settled %t: %d requests are sent within a second, want %d", isSettled, sent, want)
		}
	}
}

// TestOneTrialOfFleet guards against entry VMs that each send a trial of a blocked part:
// every one of them crashes an engine.
func TestOneTrialOfFleet(t *testing.T) {
	cf := newColdFleet(3, 29, 0)
	now := cf.start.Add(time.Minute)
	trials := 0
	for _, fo := range cf.all {
		fo.Attributor = &attributor.Attributor{}
		fo.Attributor.ApplyRecord(now, "bad", ml.PartState{Blocked: true})
	}
	for _, fo := range cf.all {
		rq := request(1)
		rq.Parts = []ml.PartID{"sys", "bad"}
		if ve := fo.checkOnce(now.Add(2*time.Minute), rq); ve.Trial {
			trials++
		}
	}
	if trials != 1 {
		t.Errorf("%d trials are sent, want 1", trials)
	}
}
