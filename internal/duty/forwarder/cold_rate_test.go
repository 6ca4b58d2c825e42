package forwarder

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/decision/divider"
	"github.com/mulberrylever/mulberrylever/internal/decision/reacher"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

const (
	// coldRate is the rate that a cold engine sustains, in requests per second.
	coldRate = 15
	// maxColdSends is the number of requests within one second at which a cold engine
	// counts as flooded: 1.5 times the rate and 5 more.
	maxColdSends = 27
)

// coldFleet is a fleet of entry VMs before cold engines, in simulated time.
type coldFleet struct {
	start   time.Time
	all     []*Forwarder
	engines []ml.EndpointID
	sends   map[ml.EndpointID][]time.Time
	updates []update
	writes  []write
}

// write is the writing of a request that was placed.
type write struct {
	at       time.Time
	by       *Forwarder
	flight   ml.FlightID
	endpoint ml.EndpointID
}

// update is a message that the other entry VMs receive at a time.
type update struct {
	at   time.Time
	from int
	sm   ml.ShareMessage
}

func newColdFleet(domains, perDomain, engines int) *coldFleet {
	cf := &coldFleet{start: time.Unix(1_000_000, 0), sends: make(map[ml.EndpointID][]time.Time)}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for i := range engines {
		cf.engines = append(cf.engines, ml.EndpointID(fmt.Sprint("e", i)))
	}
	for i := range domains * perDomain {
		fo := &Forwarder{
			Self: ml.VMID(fmt.Sprint("vm", i)), StartedAt: cf.start, Domain: ml.DomainID(fmt.Sprint("d", i%domains)), Tracker: &tracker.Tracker{},
			Detector: &detector.Detector{}, Reacher: &reacher.Reacher{}, Log: log, Catalog: &cataloger.Cataloger{Decoder: engineDecoder{}, Log: log},
		}
		for offset, id := range cf.engines {
			fo.Catalog.Merge(cf.start, []ml.KeyRecord{{Topic: "t", Key: string(id), Value: []byte("x"), Offset: ml.Offset(offset)}}, nil)
		}
		fo.Divider = &divider.Divider{Domain: fo.Domain}
		for j := range domains {
			fo.Divider.Domains = append(fo.Divider.Domains, ml.DomainID(fmt.Sprint("d", j)))
		}
		view := ml.Membership{Version: 1, Self: string(fo.Self), Settled: true}
		for j := i % domains; j < domains*perDomain; j += domains {
			if j != i {
				view.Peers = append(view.Peers, fmt.Sprint("vm", j))
			}
		}
		fo.Membership = func(time.Time) ml.Membership { return view }
		fo.ColdOverage, fo.ColdSlack = 1.5, 5
		cf.all = append(cf.all, fo)
	}
	return cf
}

// place lets an entry VM place a request at once or not at all. It is written after
// writeDelay.
func (cf *coldFleet) place(now time.Time, i int, writeDelay time.Duration) {
	fo := cf.all[i]
	rq := request(1000)
	rq.Spec.ColdRate = coldRate
	rq.Arrived, rq.FirstEventTarget, rq.FirstEventDeadline, rq.Deadline = now, now.Add(time.Second), now.Add(2*time.Second), now.Add(10*time.Second)
	it := &item{id: fo.newFlightID(), rq: rq, service: "lm", placerReq: rq.placerRequest(fo.Domain), waitingSince: now}
	de, _ := fo.decide(fo.newRound(now), it)
	if de.placement == nil {
		return
	}
	cf.writes = append(cf.writes, write{now.Add(writeDelay), fo, de.placement.flights[0], de.placement.lead.ID})
}

// write writes the requests that are due.
func (cf *coldFleet) write(now time.Time) {
	cf.writes = slices.DeleteFunc(cf.writes, func(wr write) bool {
		if wr.at.After(now) {
			return false
		}
		wr.by.Tracker.RecordSent(now, wr.flight)
		cf.sends[wr.endpoint] = append(cf.sends[wr.endpoint], now)
		return true
	})
}

// exchange sends each entry VM's changes to the others, to arrive after a delay that
// differs between messages, and delivers those that have arrived.
func (cf *coldFleet) exchange(now time.Time, delay func() time.Duration) {
	for i, fo := range cf.all {
		if sm, found := fo.Tracker.TakeChanges(); found {
			sm.From = fo.Self
			cf.updates = append(cf.updates, update{now.Add(delay()), i, sm})
		}
	}
	pending := cf.updates[:0]
	for _, up := range cf.updates {
		if up.at.After(now) {
			pending = append(pending, up)
			continue
		}
		for i, fo := range cf.all {
			if i != up.from {
				fo.Tracker.ApplyPeerUpdate(now, up.sm)
			}
		}
	}
	cf.updates = pending
}

// mostSends returns the largest number of requests that were sent to one engine
// within one second.
func (cf *coldFleet) mostSends() int {
	most := 0
	for _, sends := range cf.sends {
		first := 0
		for last := range sends {
			for sends[last].Sub(sends[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

// TestColdEngineFloodedOnOldNews guards against entry VMs that together flood a cold
// engine, since each of them learns too late of the requests of the others. The
// scripts also check that the fleet uses at least the rate that a cold engine sustains.
func TestColdEngineFloodedOnOldNews(t *testing.T) {
	datadriven.RunTest(t, "testdata/cold_rate", func(t *testing.T, td *datadriven.TestData) string {
		wa := wave{domains: 3, perDomain: 1, engines: 1, requests: 100}
		td.MaybeScanArgs(t, "domains", &wa.domains)
		td.MaybeScanArgs(t, "perDomain", &wa.perDomain)
		td.MaybeScanArgs(t, "engines", &wa.engines)
		td.MaybeScanArgs(t, "requests", &wa.requests)
		td.MaybeScanArgs(t, "maxDelayMs", &wa.maxDelayMs)
		td.MaybeScanArgs(t, "maxWriteMs", &wa.maxWriteMs)
		return wa.run()
	})
}

// wave is a wave of requests before cold engines.
type wave struct {
	domains, perDomain int // failure domains, and entry VMs in each of them
	engines            int
	requests           int // in each second, at entry VMs drawn at random
	maxDelayMs         int // of news; each message has a delay of its own
	maxWriteMs         int // from the placement of a request until it is written
}

func (wa wave) run() string {
	const step, duration = 10 * time.Millisecond, 3 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	cf := newColdFleet(wa.domains, wa.perDomain, wa.engines)
	delay := func() time.Duration { return time.Duration(random.IntN(wa.maxDelayMs+1)) * time.Millisecond }
	begin := cf.start.Add(time.Minute)
	arrivals := 0
	for now := begin; now.Before(begin.Add(duration)); now = now.Add(step) {
		cf.exchange(now, delay)
		for arrivals += wa.requests; arrivals >= int(time.Second/step); arrivals -= int(time.Second / step) {
			cf.place(now, random.IntN(len(cf.all)), time.Duration(random.IntN(wa.maxWriteMs+1))*time.Millisecond)
		}
		cf.write(now)
	}
	out := "within the limit"
	if most := cf.mostSends(); most > maxColdSends {
		out = fmt.Sprintf("flooded: %d requests within one second", most)
	}
	want := int(duration.Seconds()) * min(wa.requests, coldRate*wa.engines)
	want = want * 1000 / (1000 + wa.maxWriteMs) // each share is also taken while a request is being written
	if total := cf.totalSends(); total < want {
		out += fmt.Sprintf(", only %d of %d requests sent", total, want)
	}
	return out
}

// totalSends returns the number of requests that were sent.
func (cf *coldFleet) totalSends() int {
	n := 0
	for _, sends := range cf.sends {
		n += len(sends)
	}
	return n
}
