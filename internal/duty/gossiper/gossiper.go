// Package gossiper exchanges heartbeats with the other entry VMs. Those of its own
// cell (in small failure domains, of the domain) receive one in each round, from
// which the ownership of endpoints follows. The others receive them in turn, a few
// in each round, for the loads of endpoints. Newer fleet state is fetched from peers
// as well, so that it reaches entry VMs that can't reach the platform.
package gossiper

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/lessor"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

const (
	// remoteFanout is the number of entry VMs of other places that receive a
	// heartbeat in one round, if there are at most maxRemotesForFanout.
	maxRemotesForFanout = 64
	remoteFanout        = 8
	// largeRemoteFanout is used if there are more. An entry VM then receives the
	// heartbeats of only a sample of the fleet, which bounds the traffic.
	largeRemoteFanout = 2
	// contactRetention is how long an entry VM that the platform does not list is
	// kept after its last heartbeat.
	contactRetention = time.Minute
)

var (
	heartbeats      = metrics.NewCounter("mulberrylever_heartbeats_sent_total")
	heartbeatErrors = metrics.NewCounter("mulberrylever_heartbeat_errors_total")
)

// Gossiper exchanges heartbeats.
type Gossiper struct {
	Self    ml.EntryVM
	Timing  ml.Timing
	Clock   ml.Clock
	Peers   ml.Peers
	Keeper  *keeper.Keeper
	Loads   func(now time.Time) []ml.OwnedLoad // loads of the endpoints that this VM owns
	Adopt   func(state json.RawMessage) error  // applies a peer's fleet state if it is newer
	Log     *slog.Logger
	Leaving func() bool

	mu           sync.Mutex
	lessor       lessor.Lessor
	table        *router.Table
	contacts     map[ml.VMID]contact
	nextRemote   int                       // index, modulo their number, of the next remote entry VM in turn
	unanswered   map[string]bool           // peer addresses with an unanswered heartbeat
	clockOffsets map[ml.VMID]time.Duration // how far a peer's clock is ahead of this VM's
}

// contact is an entry VM as described in its last heartbeat.
type contact struct {
	ml.EntryVM
	lastHeard time.Time
}

// New returns a gossiper that keeps the routing table ta up to date.
func New(self ml.EntryVM, ti ml.Timing, ta *router.Table) *Gossiper {
	return &Gossiper{
		Self: self, Timing: ti, lessor: lessor.Lessor{Self: self.ID, Timing: ti},
		table: ta, contacts: make(map[ml.VMID]contact), unanswered: make(map[string]bool), clockOffsets: make(map[ml.VMID]time.Duration),
	}
}

// String returns the component's name for logs.
func (gs *Gossiper) String() string { return "gossiper" }

// Run sends heartbeats until ctx ends.
func (gs *Gossiper) Run(ctx context.Context) error {
	ti := time.NewTicker(gs.Timing.Heartbeat)
	defer ti.Stop()
	for {
		gs.round(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
		}
	}
}

// round updates ownership and the routing table, and sends one round of heartbeats.
func (gs *Gossiper) round(ctx context.Context, now time.Time) {
	loads := gs.Loads(now)
	gs.mu.Lock()
	gs.lessor.Tick(now)
	if gs.Leaving() {
		gs.lessor.Leave()
	}
	gs.lessor.UpdateOwnership(now, gs.localEndpoints())
	gs.refreshTable(now, loads)
	targets := gs.targets(now)
	for _, en := range targets {
		gs.unanswered[en.PeerAddress] = true
	}
	gs.mu.Unlock()
	hb := ml.Heartbeat{
		From: gs.Self.ID, Domain: gs.Self.Domain, Cell: gs.Self.Cell, Address: gs.Self.PeerAddress, Leaving: gs.Leaving(),
		Version: gs.Keeper.View().Fleet.Version, Loads: loads,
	}
	for _, en := range targets {
		go gs.runHeartbeat(ctx, en, hb)
	}
}

// runHeartbeat sends one heartbeat and processes its acknowledgement.
func (gs *Gossiper) runHeartbeat(ctx context.Context, en ml.EntryVM, hb ml.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, gs.Timing.LeaseTerm)
	defer cancel()
	sent := time.Now()
	heartbeats.Inc()
	ack, err := gs.Peers.Heartbeat(ctx, en.PeerAddress, hb)
	gs.mu.Lock()
	delete(gs.unanswered, en.PeerAddress)
	if err == nil {
		gs.clockOffsets[en.ID] = ack.Clock - gs.Clock.Read(sent)
	}
	if err == nil && en.Place() == gs.Self.Place() {
		gs.lessor.RecordAck(en.ID, sent)
	}
	gs.mu.Unlock()
	if err != nil {
		heartbeatErrors.Inc()
		gs.Log.Debug("heartbeat not acknowledged", "peer", en.ID, "error", err)
		return
	}
	gs.catchUp(ctx, en.PeerAddress, ack.Version)
}

// catchUp fetches and applies a peer's fleet state if it is newer than this VM's.
func (gs *Gossiper) catchUp(ctx context.Context, address string, peerVersion ml.Version) {
	ownVersion := gs.Keeper.View().Fleet.Version
	newer := peerVersion > ownVersion
	if mutator.Disabled(mutator.Versions) {
		newer = peerVersion < ownVersion
	}
	if !newer {
		return
	}
	ns, err := gs.Peers.State(ctx, address)
	if err != nil {
		gs.Log.Warn("fleet state not fetched", "peer", address, "error", err)
		return
	}
	if err := gs.Adopt(ns.Fleet); err != nil {
		gs.Log.Warn("fleet state not applied", "peer", address, "error", err)
	}
}

// OnHeartbeat records a heartbeat from another entry VM.
func (gs *Gossiper) OnHeartbeat(hb ml.Heartbeat) ml.HeartbeatAck {
	now := time.Now()
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.contacts[hb.From] = contact{
		EntryVM: ml.EntryVM{ID: hb.From, Domain: hb.Domain, Cell: hb.Cell, PeerAddress: hb.Address, State: ml.StateLive}, lastHeard: now,
	}
	if hb.Place() == gs.Self.Place() {
		gs.lessor.RecordHeartbeat(now, hb.From, hb.Leaving)
	}
	gs.updateTable(now, hb.From, hb.Loads)
	return ml.HeartbeatAck{Version: gs.Keeper.View().Fleet.Version, Clock: gs.Clock.Read(now)}
}

// MaxAge returns an upper bound for the age of an event that happened when the clock
// of another VM showed at. The clock offset is known from heartbeats to within their
// round-trip time, since the other VM reads its clock between the sending of the
// heartbeat and the arrival of its acknowledgement. The second result is false if no
// acknowledgement has arrived yet.
func (gs *Gossiper) MaxAge(now time.Time, of ml.VMID, at time.Duration) (time.Duration, bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if of == gs.Self.ID {
		return gs.Clock.Read(now) - at, true
	}
	ahead, known := gs.clockOffsets[of]
	return gs.Clock.Read(now) - (at - ahead), known
}

// MayGrant reports whether this VM may grant work for ep now.
func (gs *Gossiper) MayGrant(now time.Time, ep ml.EndpointID) bool {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.lessor.MayGrant(now, ep)
}

// OwnedEndpoints returns the endpoints of this VM's place that it may grant work for.
func (gs *Gossiper) OwnedEndpoints(now time.Time) []ml.Endpoint {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	out := []ml.Endpoint{}
	for _, ep := range gs.Keeper.EndpointsAt(gs.Self.Place()) {
		if gs.lessor.MayGrant(now, ep.ID) {
			out = append(out, ep)
		}
	}
	return out
}

// LiveMembers returns the members of this VM's place that it considers alive.
func (gs *Gossiper) LiveMembers(now time.Time) []ml.VMID {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.lessor.Alive(now)
}

// Observing reports whether this VM has not yet observed its place for long enough
// to know the other members.
func (gs *Gossiper) Observing(now time.Time) bool {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.lessor.Observing(now)
}

// WithTable calls use with the routing table, while holding the lock.
func (gs *Gossiper) WithTable(use func(ta *router.Table)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	use(gs.table)
}

// PeerAddress returns the peer address of an entry VM, or "" if it is not known.
func (gs *Gossiper) PeerAddress(id ml.VMID) string {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if en, found := gs.contacts[id]; found {
		return en.PeerAddress
	}
	en, _ := gs.Keeper.Entry(id)
	return en.PeerAddress
}

// Owner returns the entry VM that owns an endpoint according to a heartbeat received
// at or after since. If there is none, it returns fallback. If that is empty too, it
// returns the listed member of the endpoint's place that would own the endpoint if
// all were alive.
func (gs *Gossiper) Owner(ep ml.Endpoint, since time.Time, fallback ml.VMID) ml.VMID {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	owner, heardAt := gs.table.Owner(ep.ID)
	switch {
	case owner != "" && !heardAt.Before(since):
		return owner
	case fallback != "":
		return fallback
	default:
		return lessor.RendezvousOwner(gs.Keeper.EntriesAt(ep.Place()), ep.ID)
	}
}

// targets returns the entry VMs that receive a heartbeat in this round: the members
// of the own place and, in turn, a few others. Peers with an unanswered heartbeat are
// left out. Contacts that are not listed and have expired are removed.
func (gs *Gossiper) targets(now time.Time) []ml.EntryVM {
	known := make(map[ml.VMID]ml.EntryVM)
	for id, co := range gs.contacts {
		if now.Sub(co.lastHeard) > contactRetention {
			delete(gs.contacts, id)
			continue
		}
		known[id] = co.EntryVM
	}
	for _, en := range gs.Keeper.VMs().Entries {
		known[en.ID] = en
	}
	delete(known, gs.Self.ID)
	out, remote := []ml.EntryVM{}, []ml.EntryVM{}
	for _, en := range known {
		switch {
		case gs.unanswered[en.PeerAddress]:
		case en.Place() == gs.Self.Place():
			out = append(out, en)
		default:
			remote = append(remote, en)
		}
	}
	sortByID(remote)
	fanout := min(remoteFanout, len(remote))
	if len(remote) > maxRemotesForFanout {
		fanout = largeRemoteFanout
	}
	for i := range fanout {
		out = append(out, remote[(gs.nextRemote+i)%len(remote)])
	}
	gs.nextRemote += fanout
	return out
}

// localEndpoints returns the endpoints of this VM's place, which it may own.
func (gs *Gossiper) localEndpoints() []ml.EndpointID {
	out := []ml.EndpointID{}
	for _, ep := range gs.Keeper.EndpointsAt(gs.Self.Place()) {
		out = append(out, ep.ID)
	}
	return out
}

// refreshTable applies the routing settings, removes endpoints that are out of
// service or stale, and updates the loads of this VM's own endpoints.
func (gs *Gossiper) refreshTable(now time.Time, loads []ml.OwnedLoad) {
	vi := gs.Keeper.View()
	gs.table.Policy = router.PolicyByName(vi.Config.Routing.Policy)
	gs.table.SampleSize = vi.Config.Routing.SampleSize
	gs.table.Retain(func(id ml.EndpointID) bool {
		ep, listed := gs.Keeper.Endpoint(id)
		return listed && vi.OutOfServiceReason(ep) == ""
	})
	gs.table.Expire(now)
	gs.updateTable(now, gs.Self.ID, loads)
}

func (gs *Gossiper) updateTable(now time.Time, owner ml.VMID, loads []ml.OwnedLoad) {
	vi := gs.Keeper.View()
	for _, ol := range loads {
		ep, found := gs.Keeper.Endpoint(ol.Endpoint)
		if found && vi.OutOfServiceReason(ep) == "" {
			gs.table.Update(now, ep, owner, ol.Load)
		}
	}
}

func sortByID(ens []ml.EntryVM) {
	slices.SortFunc(ens, func(a, b ml.EntryVM) int { return cmp.Compare(a.ID, b.ID) })
}
