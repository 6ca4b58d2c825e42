package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/sharer"
)

// newScheduledFleet returns a fleet of which some entry VMs have more processor cores, and all
// schedule for others when they are asked.
func newScheduledFleet(tb testing.TB, n int) *fleet {
	fl := &fleet{ne: &network{nodes: map[string]*sharer.Sharer{}, killed: map[string]bool{}}}
	for i := range n {
		fl.create(i)
		fl.nodes[i].Schedules = true
		if i < 4 {
			fl.nodes[i].Cores = 2
		}
	}
	for i := range n {
		fl.run(tb, i)
	}
	return fl
}

// schedulers returns the number of entry VMs, among those from an index on, that use each
// scheduler.
func (fl *fleet) schedulers(from int) map[string]int {
	out := map[string]int{}
	for _, sh := range fl.nodes[from:] {
		address, _ := sh.Scheduler(time.Now())
		out[address]++
	}
	return out
}

// TestSchedulerKnowsRequests checks that in a fleet with a scheduler it alone hears of the
// requests, by few messages, and that the next one knows all of them soon after it was killed.
func TestSchedulerKnowsRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	const n, flights = 40, 20
	fl := newScheduledFleet(t, n)
	g.Eventually(func() map[string]int { return fl.schedulers(0) }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(map[string]int{"10.0.0.00": n}))
	before := fl.ne.flightMessages.Load()
	for i := range flights {
		fl.nodes[n-1-i].Tracker.AddFlight(time.Now(), ml.Flight{ID: ml.FlightID(fmt.Sprint("f", i)), Endpoint: "e", SentAt: time.Now()})
	}
	known := func(i int) int { return len(fl.nodes[i].Tracker.Flights(time.Now())["e"]) }
	g.Eventually(func() int { return known(0) }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(flights))
	g.Consistently(func() int { return known(5) }, "500ms", "20ms").Should(gomega.BeZero(), "others are not told")
	g.Expect(fl.ne.flightMessages.Load()-before).To(gomega.BeNumerically("<=", flights), "one message for each change")
	g.Consistently(func() int { return known(0) }, "4s", "50ms").Should(gomega.Equal(flights), "they don't expire while they last")

	fl.kill(0)
	g.Eventually(func() int { return known(1) }).WithTimeout(5 * time.Second).Should(gomega.Equal(flights))
	g.Expect(fl.schedulers(1)).To(gomega.Equal(map[string]int{"10.0.0.01": n - 1}))
}

// TestSchedulerWhileUnreachable checks that an entry VM that can't reach the scheduler uses
// that of its failure domain, and returns to the first one later.
func TestSchedulerWhileUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	fl := newScheduledFleet(t, 30)
	g.Eventually(func() map[string]int { return fl.schedulers(0) }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(map[string]int{"10.0.0.00": 30}))
	sh := fl.nodes[11] // its domain's first is 10.0.0.01
	sh.SchedulerFailed("10.0.0.00", errKilled)
	address, isSelf := sh.Scheduler(time.Now())
	g.Expect(address).To(gomega.Equal("10.0.0.01"))
	g.Expect(isSelf).To(gomega.BeFalse())
	sh.SchedulerFailed("10.0.0.01", errKilled)
	address, isSelf = sh.Scheduler(time.Now())
	g.Expect(address).To(gomega.Equal(sh.Address))
	g.Expect(isSelf).To(gomega.BeTrue())
	g.Eventually(func() string { address, _ := sh.Scheduler(time.Now()); return address }).WithTimeout(eventuallyTimeout).Should(gomega.Equal("10.0.0.00"))
}

// TestEarlierReleaseDoesNotSchedule checks that an entry VM that doesn't say that it
// schedules isn't asked, and that without any that does all are told of all requests.
func TestEarlierReleaseDoesNotSchedule(t *testing.T) {
	g := gomega.NewWithT(t)
	fl := &fleet{ne: &network{nodes: map[string]*sharer.Sharer{}, killed: map[string]bool{}}}
	const n = 20
	for i := range n {
		fl.create(i)
		fl.nodes[i].Schedules = i >= 10
	}
	for i := range n {
		fl.run(t, i)
	}
	g.Eventually(func() map[string]int { return fl.schedulers(10) }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(map[string]int{"10.0.0.10": 10}))
	g.Expect(fl.schedulers(0)).To(gomega.HaveKeyWithValue("", 10), "entry VMs of the earlier release have none")
	fl.nodes[3].Tracker.AddFlight(time.Now(), ml.Flight{ID: "old", Endpoint: "e", SentAt: time.Now()})
	g.Eventually(func() int { return len(fl.nodes[10].Tracker.Flights(time.Now())["e"]) }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(1), "the scheduler hears of theirs")
}

// TestQuietMembersStay checks that entry VMs that are no leaders, and send their heartbeats
// seldom, are neither dropped nor passed over, and that the leaders stay the same.
func TestQuietMembersStay(t *testing.T) {
	g := gomega.NewWithT(t)
	const n = 60
	fl := newScheduledFleet(t, n)
	g.Eventually(func() map[string]int { return fl.schedulers(0) }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(map[string]int{"10.0.0.00": n}))
	peers := func() int { return len(fl.nodes[0].Membership(time.Now()).Peers) }
	g.Eventually(peers).WithTimeout(eventuallyTimeout).Should(gomega.Equal(n/2 - 1))
	time.Sleep(11 * time.Second) // until they are no newcomers
	fl.nodes[n-1].Tracker.AddFlight(time.Now(), ml.Flight{ID: "long", Endpoint: "e", SentAt: time.Now()})
	known := func() int { return len(fl.nodes[0].Tracker.Flights(time.Now())["e"]) }
	g.Eventually(known).Should(gomega.Equal(1))
	g.Consistently(known, "5s", "20ms").Should(gomega.Equal(1), "the scheduler knows a request for as long as it lasts")
	g.Consistently(peers, "6s", "50ms").Should(gomega.Equal(n/2 - 1))
	g.Consistently(func() map[string]int { return fl.schedulers(0) }, "3s", "50ms").Should(gomega.Equal(map[string]int{"10.0.0.00": n}))
	g.Expect(fl.countReaders()).To(gomega.Equal(4), "two entry VMs in each of two domains wait at the store")
}
