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
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/duty/sharer"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

// network connects entry VMs in one process. It implements ml.SharePeers.
type network struct {
	mu     sync.Mutex
	nodes  map[string]*sharer.Sharer
	killed map[string]bool
	told   atomic.Int64 // messages with changes, but for those passed on
	news   atomic.Int64 // messages with records, but for those passed on
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

func (ne *network) Pack(ms ml.ShareMessage) (ml.EncodedMessage, error) { return json.Marshal(ms) }

func unpacked(pa ml.EncodedMessage) ml.ShareMessage {
	ms := ml.ShareMessage{}
	if err := json.Unmarshal(pa, &ms); err != nil {
		panic(err)
	}
	return ms
}

func (ne *network) Share(_ context.Context, address string, pa ml.EncodedMessage) (ml.ShareAck, error) {
	ms := unpacked(pa)
	ne.count(ms)
	sh, err := ne.node(address)
	if err != nil {
		return ml.ShareAck{}, err
	}
	return sh.OnShare(ms), nil
}

func (ne *network) count(ms ml.ShareMessage) {
	if len(ms.Flights) > 0 && !ms.Full {
		ne.told.Add(1)
	}
	if len(ms.Records) > 0 {
		ne.news.Add(1)
	}
}

func (ne *network) Notify(_ context.Context, address string, pa ml.EncodedMessage) error {
	ms := unpacked(pa)
	ne.count(ms)
	sh, err := ne.node(address)
	if err == nil {
		sh.OnShare(ms)
	}
	return err
}

func (ne *network) Records(_ context.Context, address string, after map[ml.TopicName]ml.Offset) ([]ml.KeyRecord, error) {
	sh, err := ne.node(address)
	if err != nil {
		return nil, err
	}
	return sh.OnRecords(after), nil
}

// fleet is a number of entry VMs in two failure domains that know the first.
type fleet struct {
	ne    *network
	nodes []*sharer.Sharer
	stop  []context.CancelFunc
}

func newFleet(tb testing.TB, n int) *fleet {
	fl := &fleet{ne: &network{nodes: map[string]*sharer.Sharer{}, killed: map[string]bool{}}}
	for i := range n {
		sh := sharer.New()
		sh.Self, sh.Address = ml.VMID(fmt.Sprintf("vm%02d", i)), fmt.Sprintf("10.0.0.%02d", i)
		sh.Domain, sh.Seeds = ml.DomainID(fmt.Sprint("d", i%2)), []string{"10.0.0.00", "10.0.0.01"}
		sh.Peers, sh.Tracker, sh.Catalog = fl.ne, &tracker.Tracker{OnLocalChange: sh.Signal}, &cataloger.Cataloger{Decoder: nothing{}, Log: slog.New(slog.DiscardHandler)}
		sh.Detector, sh.Log, sh.Leaving = &detector.Detector{}, slog.New(slog.DiscardHandler), func() bool { return false }
		fl.ne.nodes[sh.Address] = sh
		fl.nodes = append(fl.nodes, sh)
	}
	for _, sh := range fl.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		tb.Cleanup(cancel)
		fl.stop = append(fl.stop, cancel)
		go func() { _ = sh.Run(ctx) }()
	}
	return fl
}

// kill ends one entry VM.
func (fl *fleet) kill(i int) {
	fl.stop[i]()
	fl.ne.mu.Lock()
	fl.ne.killed[fl.nodes[i].Address] = true
	fl.ne.mu.Unlock()
}

// leastHeard returns how many others the entry VM that hears the fewest hears.
func (fl *fleet) leastHeard(from int) int {
	least := len(fl.nodes)
	for _, sh := range fl.nodes[from:] {
		least = min(least, sh.Tracker.LivePeers(time.Now()))
	}
	return least
}

// knowing returns how many entry VMs know of flights at an endpoint.
func (fl *fleet) knowing(id ml.EndpointID) int {
	n := 0
	for _, sh := range fl.nodes {
		if len(sh.Tracker.Flights(time.Now())[id]) > 0 {
			n++
		}
	}
	return n
}

// readers returns how many entry VMs wait at the platform's store.
func (fl *fleet) readers() int {
	n := 0
	for _, sh := range fl.nodes {
		if sh.ReadsStore(time.Now()) {
			n++
		}
	}
	return n
}

const patience = 20 * time.Second

// TestSmallFleetTellsDirectly checks that entry VMs that know two find all, and
// each what all have sent.
func TestSmallFleetTellsDirectly(t *testing.T) {
	g := gomega.NewWithT(t)
	fl := newFleet(t, 7)
	g.Eventually(func() int { return fl.leastHeard(0) }).WithTimeout(patience).Should(gomega.Equal(6))
	fl.nodes[3].Tracker.AddFlight(time.Now(), ml.Flight{ID: "f", Endpoint: "e", SentAt: time.Now()})
	g.Eventually(func() int { return fl.knowing("e") }).WithTimeout(patience).Should(gomega.Equal(7))
}

// TestLargeFleetPassesOn checks that in a large fleet all learn what one tells,
// by few messages, also after those that pass messages on were killed.
func TestLargeFleetPassesOn(t *testing.T) {
	g := gomega.NewWithT(t)
	const n, rounds, flights = 40, 20, 10
	fl := newFleet(t, n)
	g.Eventually(func() int { return fl.leastHeard(0) }).WithTimeout(patience).Should(gomega.Equal(n - 1))
	time.Sleep(time.Second) // all have chosen who passes messages on
	before := fl.ne.told.Load()
	for round := range rounds {
		for i := range flights {
			id := ml.FlightID(fmt.Sprint(round, "-", i))
			fl.nodes[i+2].Tracker.AddFlight(time.Now(), ml.Flight{ID: id, Endpoint: "e", SentAt: time.Now()})
		}
		time.Sleep(5 * time.Millisecond)
	}
	g.Eventually(func() int { return fl.knowing("e") }).WithTimeout(patience).Should(gomega.Equal(n))
	g.Expect(fl.ne.told.Load()-before).To(gomega.BeNumerically("<=", rounds*flights), "one message for each change")

	g.Eventually(fl.readers).WithTimeout(patience).Should(gomega.Equal(4), "two of each failure domain wait at the store")
	fl.nodes[5].PublishRecords([]ml.KeyRecord{{Topic: "t", Key: "k", Offset: 1}})
	g.Eventually(fl.ne.news.Load).WithTimeout(patience).Should(gomega.BeNumerically(">=", n/2-1), "news of the store goes to all of the domain directly")
	fl.kill(0)
	fl.kill(1)
	fl.nodes[n-1].Tracker.AddFlight(time.Now(), ml.Flight{ID: "late", Endpoint: "late", SentAt: time.Now()})
	g.Eventually(func() int { return fl.knowing("late") }).WithTimeout(patience).Should(gomega.BeNumerically(">=", n-2))
	g.Eventually(func() int { return fl.leastHeard(2) }).WithTimeout(patience).Should(gomega.Equal(n - 3))
}

// nothing reads no record.
type nothing struct{}

func (nothing) Config(ml.KeyRecord) (ml.ServingConfig, bool, error) {
	return ml.ServingConfig{}, false, nil
}
func (nothing) Domain(ml.KeyRecord) (ml.DomainID, bool) { return "", false }
func (nothing) Endpoint(ml.KeyRecord) (ml.ListedEndpoint, bool, error) {
	return ml.ListedEndpoint{}, false, nil
}
