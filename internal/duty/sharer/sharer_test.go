package sharer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/attributor"
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/decision/divider"
	"github.com/mulberrylever/mulberrylever/internal/duty/sharer"
	"github.com/mulberrylever/mulberrylever/internal/state/attester"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

// network connects entry VMs within the test process. It implements ml.SharePeers.
type network struct {
	mu             sync.Mutex
	nodes          map[string]*sharer.Sharer
	killed         map[string]bool
	flightMessages atomic.Int64 // messages with changed flights, without those in batches
	recordMessages atomic.Int64 // messages with records, without those in batches
}

var errKilled = errors.New("connection refused")

func (ne *network) node(address string) (*sharer.Sharer, error) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.nodes[address] == nil || ne.killed[address] {
		return nil, errKilled
	}
	return ne.nodes[address], nil
}

func (ne *network) Pack(sm ml.ShareMessage) (ml.EncodedMessage, error) { return json.Marshal(sm) }

func decode(em ml.EncodedMessage) ml.ShareMessage {
	sm := ml.ShareMessage{}
	if err := json.Unmarshal(em, &sm); err != nil {
		panic(err)
	}
	return sm
}

func (ne *network) Share(_ context.Context, address string, em ml.EncodedMessage) (ml.ShareAck, error) {
	sm := decode(em)
	ne.count(sm)
	sh, err := ne.node(address)
	if err != nil {
		return ml.ShareAck{}, err
	}
	return sh.OnShare(sm), nil
}

func (ne *network) count(sm ml.ShareMessage) {
	if len(sm.Flights) > 0 && !sm.Full {
		ne.flightMessages.Add(1)
	}
	if len(sm.Records) > 0 {
		ne.recordMessages.Add(1)
	}
}

func (ne *network) Notify(_ context.Context, address string, em ml.EncodedMessage) error {
	sm := decode(em)
	ne.count(sm)
	sh, err := ne.node(address)
	if err == nil {
		sh.OnShare(sm)
	}
	return err
}

func (ne *network) Records(_ context.Context, address string, after map[ml.TopicName]ml.Position) (ml.RecordsReply, error) {
	sh, err := ne.node(address)
	if err != nil {
		return ml.RecordsReply{}, err
	}
	return sh.OnRecords(after), nil
}

// fleet holds entry VMs in two failure domains. The first one of each domain is a
// seed of all.
type fleet struct {
	ne    *network
	nodes []*sharer.Sharer
	stop  []context.CancelFunc
}

func newFleet(tb testing.TB, n int) *fleet {
	fl := &fleet{ne: &network{nodes: map[string]*sharer.Sharer{}, killed: map[string]bool{}}}
	for i := range n {
		fl.create(i)
	}
	for i := range n {
		fl.run(tb, i)
	}
	return fl
}

// create creates the entry VM with a number. The failure domain follows from the number.
func (fl *fleet) create(i int) {
	sh := sharer.New()
	sh.Self, sh.Address = ml.VMID(fmt.Sprintf("vm%02d", i)), fmt.Sprintf("10.0.0.%02d", i)
	sh.Domain, sh.Seeds = ml.DomainID(fmt.Sprint("d", i%2)), []string{"10.0.0.00", "10.0.0.01"}
	sh.Peers, sh.Tracker, sh.Catalog = fl.ne, &tracker.Tracker{OnLocalChange: sh.Signal}, &cataloger.Cataloger{Decoder: emptyDecoder{}, Log: slog.New(slog.DiscardHandler)}
	sh.Attributor = &attributor.Attributor{}
	sh.Detector, sh.Log, sh.Leaving = &detector.Detector{}, slog.New(slog.DiscardHandler), func() bool { return false }
	sh.Cut = func() []ml.ServiceName { return nil }
	fl.ne.mu.Lock()
	fl.ne.nodes[sh.Address] = sh
	fl.ne.mu.Unlock()
	fl.nodes = append(fl.nodes, sh)
}

// run starts the entry VM with a number.
func (fl *fleet) run(tb testing.TB, i int) {
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	fl.stop = append(fl.stop, cancel)
	go func() { _ = fl.nodes[i].Run(ctx) }()
}

// kill stops one entry VM and makes it unreachable.
func (fl *fleet) kill(i int) {
	fl.stop[i]()
	fl.ne.mu.Lock()
	fl.ne.killed[fl.nodes[i].Address] = true
	fl.ne.mu.Unlock()
}

// fewestPeers returns the smallest number of live peers of an entry VM, among the
// entry VMs from an index on.
func (fl *fleet) fewestPeers(from int) int {
	least := len(fl.nodes)
	for _, sh := range fl.nodes[from:] {
		least = min(least, sh.Tracker.LivePeers(time.Now()))
	}
	return least
}

// countKnowing returns how many entry VMs know of flights at an endpoint.
func (fl *fleet) countKnowing(id ml.EndpointID) int {
	n := 0
	for _, sh := range fl.nodes {
		if len(sh.Tracker.Flights(time.Now())[id]) > 0 {
			n++
		}
	}
	return n
}

// countReaders returns how many entry VMs wait for changes at the platform's store.
func (fl *fleet) countReaders() int {
	n := 0
	for _, sh := range fl.nodes {
		if sh.ReadsStore(time.Now()) {
			n++
		}
	}
	return n
}

const eventuallyTimeout = 20 * time.Second

// TestSmallFleetSendsDirectly checks that entry VMs that start with two seeds
// discover all others, and that each learns of a flight that one has sent.
func TestSmallFleetSendsDirectly(t *testing.T) {
	g := gomega.NewWithT(t)
	fl := newFleet(t, 7)
	g.Eventually(func() int { return fl.fewestPeers(0) }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(6))
	fl.nodes[3].Tracker.AddFlight(time.Now(), ml.Flight{ID: "f", Endpoint: "e", SentAt: time.Now()})
	g.Eventually(func() int { return fl.countKnowing("e") }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(7))
}

// TestLargeFleetRelays checks that in a large fleet all entry VMs learn of changes
// with few messages, also after the relays were killed. It also checks that two entry
// VMs in each domain wait at the store, and that store records go to the domain
// directly.
func TestLargeFleetRelays(t *testing.T) {
	g := gomega.NewWithT(t)
	const n, rounds, flights = 40, 20, 10
	fl := newFleet(t, n)
	g.Eventually(func() int { return fl.fewestPeers(0) }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(n - 1))
	time.Sleep(time.Second) // until all have chosen the same relays
	before := fl.ne.flightMessages.Load()
	for round := range rounds {
		for i := range flights {
			id := ml.FlightID(fmt.Sprint(round, "-", i))
			fl.nodes[i+2].Tracker.AddFlight(time.Now(), ml.Flight{ID: id, Endpoint: "e", SentAt: time.Now()})
		}
		time.Sleep(5 * time.Millisecond)
	}
	g.Eventually(func() int { return fl.countKnowing("e") }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(n))
	g.Expect(fl.ne.flightMessages.Load()-before).To(gomega.BeNumerically("<=", rounds*flights), "at most one message for each change")

	g.Eventually(fl.countReaders).WithTimeout(eventuallyTimeout).Should(gomega.Equal(4), "two entry VMs in each failure domain wait at the store")
	fl.nodes[5].PublishRecords([]ml.KeyRecord{{Topic: "t", Key: "k", Offset: 1}})
	g.Eventually(fl.ne.recordMessages.Load).WithTimeout(eventuallyTimeout).Should(gomega.BeNumerically(">=", n/2-1), "store records are sent to all members of the domain directly")
	fl.kill(0)
	fl.kill(1)
	fl.nodes[n-1].Tracker.AddFlight(time.Now(), ml.Flight{ID: "late", Endpoint: "late", SentAt: time.Now()})
	g.Eventually(func() int { return fl.countKnowing("late") }).WithTimeout(eventuallyTimeout).Should(gomega.BeNumerically(">=", n-2))
	g.Eventually(func() int { return fl.fewestPeers(2) }).WithTimeout(eventuallyTimeout).Should(gomega.Equal(n - 3))
}

// emptyDecoder decodes no records.
type emptyDecoder struct{}

func (emptyDecoder) Config(ml.KeyRecord) (ml.ServingConfig, bool, error) {
	return ml.ServingConfig{}, false, nil
}
func (emptyDecoder) Domain(ml.KeyRecord) (ml.DomainID, bool) { return "", false }
func (emptyDecoder) Part(ml.KeyRecord) (ml.PartID, ml.PartState, bool) {
	return "", ml.PartState{}, false
}

func (emptyDecoder) Endpoint(ml.KeyRecord) (ml.ListedEndpoint, bool, error) {
	return ml.ListedEndpoint{}, false, nil
}

// TestMembership checks that an entry VM counts the others of its domain and those
// that it has not heard yet, and that a process that has just started is not settled.
func TestMembership(t *testing.T) {
	g := gomega.NewWithT(t)
	fl := newFleet(t, 6)
	of := func(i int) ml.Membership { return fl.nodes[i].Membership(time.Now()) }
	g.Expect(of(0).Settled).To(gomega.BeFalse())
	g.Eventually(func() []string { return of(0).Peers }).WithTimeout(eventuallyTimeout).Should(gomega.ConsistOf("10.0.0.02", "10.0.0.04"))
	g.Eventually(func() bool { return of(0).Settled }).WithTimeout(eventuallyTimeout).Should(gomega.BeTrue())
	before := of(0).Version
	fl.nodes[0].AddMember(t.Context(), "10.0.0.99")
	g.Expect(of(0).Peers).To(gomega.ContainElement("10.0.0.99"), "its domain is not known yet")
	g.Expect(of(0).Version).NotTo(gomega.Equal(before))
}

// sumOfShares returns the sum of the shares of all entry VMs that use theirs.
func (fl *fleet) sumOfShares(now time.Time, key string, limit int) int {
	n := 0
	for _, sh := range fl.nodes {
		fl.ne.mu.Lock()
		killed := fl.ne.killed[sh.Address]
		fl.ne.mu.Unlock()
		view := sh.Membership(now)
		if killed || !view.Settled {
			continue
		}
		di := divider.Divider{Domain: sh.Domain, Domains: []ml.DomainID{"d0", "d1"}}
		n += di.Share(view, key, limit)
	}
	return n
}

// TestSharesWhileMembersChange guards against a cold engine that is flooded while entry
// VMs die and others take their place: at no time do the shares of those that run add
// up to more than the limit.
func TestSharesWhileMembersChange(t *testing.T) {
	g := gomega.NewWithT(t)
	const n, rounds, limit = 24, 6, 15
	fl := newFleet(t, n)
	sum := func() int {
		most := 0
		for _, key := range []string{"e1", "e2", "e3"} {
			most = max(most, fl.sumOfShares(time.Now(), key, limit))
		}
		return most
	}
	g.Eventually(sum).WithTimeout(eventuallyTimeout).Should(gomega.Equal(limit))
	for round := range rounds {
		fl.kill(2 + round)
		fl.create(n + round)
		fl.run(t, n+round)
		g.Consistently(sum, "700ms", "20ms").Should(gomega.BeNumerically("<=", limit))
	}
	g.Consistently(sum, "4s", "20ms").Should(gomega.BeNumerically("<=", limit), "also when the new ones use their shares")
}

// TestDeletionUnknownToPeer guards against a deletion that an entry VM never hears of, since
// it asked one that had started after it, and then believes to know everything.
func TestDeletionUnknownToPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	const topic = ml.TopicName("t")
	now := time.Now()
	fl := &fleet{ne: &network{nodes: map[string]*sharer.Sharer{}, killed: map[string]bool{}}}
	for i := range 3 {
		fl.create(i)
	}
	before := []ml.KeyRecord{{Topic: topic, Key: "gone", Value: []byte("x"), Offset: 4}}
	late, started, old := fl.nodes[0], fl.nodes[1], fl.nodes[2]
	for _, sh := range []*sharer.Sharer{late, old} {
		li := attester.NewListing(topic, ml.Position{Offset: 5}, now)
		li.AddPage(before, true)
		sh.Catalog.ApplyListing(now, li)
	}
	old.Catalog.ApplyRead(now, &attester.Read{Topic: topic, Records: []ml.KeyRecord{{Topic: topic, Key: "gone", Offset: 5}}, From: ml.Position{Offset: 5}, Next: ml.Position{Offset: 7}, End: 7, Current: now})
	left := attester.NewListing(topic, ml.Position{Offset: 7}, now)
	left.AddPage(nil, true)
	started.Catalog.ApplyListing(now, left)
	digest := func(from *sharer.Sharer) {
		late.OnShare(ml.ShareMessage{From: from.Self, Address: from.Address, KnownAddresses: []string{from.Address}, NextOffsets: map[ml.TopicName]ml.Offset{topic: from.Catalog.NextPositions()[topic].Offset}})
	}
	deleted := func() bool {
		for _, re := range late.Catalog.RecordsFrom(nil).Records {
			if re.Key == "gone" && re.Value == nil {
				return true
			}
		}
		return false
	}
	digest(started)
	g.Consistently(deleted, "200ms", "10ms").Should(gomega.BeFalse())
	g.Expect(late.Catalog.NextPositions()[topic]).To(gomega.Equal(ml.Position{Offset: 5}), "it doesn't know everything before 7")
	g.Eventually(func() bool {
		digest(old)
		return deleted()
	}, "5s", "20ms").Should(gomega.BeTrue())
	g.Expect(late.Catalog.NextPositions()[topic]).To(gomega.Equal(ml.Position{Offset: 7}))
}
