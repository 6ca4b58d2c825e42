// Package gossiper exchanges heartbeats with the other entry VMs: with those
// of its own cell (in small failure domains, the domain) for the ownership of
// endpoints, with a few of the others in turn for their endpoints' loads. Newer fleet state travels the
// same way, so that it reaches nodes which can't reach the platform.
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
	// fewRemotes is the number of entry VMs of other places up to which
	// remoteFanout of them receive a heartbeat in one round.
	fewRemotes   = 64
	remoteFanout = 8
	// manyFanout is the same for more of them: what a node hears is then a
	// sample of the fleet, and the bytes stay bounded.
	manyFanout = 2
	// contactKept is the time for which an entry VM that the platform does
	// not list is remembered after its last heartbeat.
	contactKept = time.Minute
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
	Loads   func(now time.Time) []ml.OwnedLoad // what this VM owns
	Adopt   func(state json.RawMessage) error
	Log     *slog.Logger
	Leaving func() bool

	mu       sync.Mutex
	lessor   lessor.Lessor
	table    *router.Table
	book     map[ml.VMID]contact
	rotation int
	busy     map[string]bool // peers with a heartbeat under way
	ahead    map[ml.VMID]time.Duration
}

// contact is an entry VM as its last heartbeat told.
type contact struct {
	ml.EntryVM
	heard time.Time
}

// New returns a gossiper that routes by table.
func New(self ml.EntryVM, ti ml.Timing, ta *router.Table) *Gossiper {
	return &Gossiper{
		Self: self, Timing: ti, lessor: lessor.Lessor{Self: self.ID, Timing: ti},
		table: ta, book: make(map[ml.VMID]contact), busy: make(map[string]bool), ahead: make(map[ml.VMID]time.Duration),
	}
}

// String names the step in logs.
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

// round sends one round of heartbeats and renews the view.
func (gs *Gossiper) round(ctx context.Context, now time.Time) {
	loads := gs.Loads(now)
	gs.mu.Lock()
	gs.lessor.Tick(now)
	if gs.Leaving() {
		gs.lessor.Leave()
	}
	gs.lessor.UpdateOwnership(now, gs.candidates())
	gs.syncTable(now, loads)
	targets := gs.targets(now)
	for _, en := range targets {
		gs.busy[en.PeerAddress] = true
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

// runHeartbeat sends one heartbeat and waits for its acknowledgement.
func (gs *Gossiper) runHeartbeat(ctx context.Context, en ml.EntryVM, hb ml.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, gs.Timing.LeaseTerm)
	defer cancel()
	sent := time.Now()
	heartbeats.Inc()
	ack, err := gs.Peers.Heartbeat(ctx, en.PeerAddress, hb)
	gs.mu.Lock()
	delete(gs.busy, en.PeerAddress)
	if err == nil {
		gs.ahead[en.ID] = ack.Clock - gs.Clock.Read(sent)
	}
	if err == nil && en.Place() == gs.Self.Place() {
		gs.lessor.RecordAck(en.ID, sent)
	}
	gs.mu.Unlock()
	if err != nil {
		heartbeatErrors.Inc()
		gs.Log.Debug("heartbeat", "peer", en.ID, "error", err)
		return
	}
	gs.catchUp(ctx, en.PeerAddress, ack.Version)
}

// catchUp takes over a peer's fleet state when it is newer than this node's.
func (gs *Gossiper) catchUp(ctx context.Context, address string, theirs ml.Version) {
	mine := gs.Keeper.View().Fleet.Version
	newer := theirs > mine
	if mutator.Disabled(mutator.Versions) {
		newer = theirs < mine
	}
	if !newer {
		return
	}
	ns, err := gs.Peers.State(ctx, address)
	if err != nil {
		gs.Log.Warn("fetch state", "peer", address, "error", err)
		return
	}
	if err := gs.Adopt(ns.Fleet); err != nil {
		gs.Log.Warn("adopt state", "peer", address, "error", err)
	}
}

// OnHeartbeat records a heartbeat from another entry VM.
func (gs *Gossiper) OnHeartbeat(hb ml.Heartbeat) ml.HeartbeatAck {
	now := time.Now()
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.book[hb.From] = contact{
		EntryVM: ml.EntryVM{ID: hb.From, Domain: hb.Domain, Cell: hb.Cell, PeerAddress: hb.Address, State: ml.StateLive}, heard: now,
	}
	if hb.Place() == gs.Self.Place() {
		gs.lessor.RecordHeartbeat(now, hb.From, hb.Leaving)
	}
	gs.updateTable(now, hb.From, hb.Loads)
	return ml.HeartbeatAck{Version: gs.Keeper.View().Fleet.Version, Clock: gs.Clock.Read(now)}
}

// MaxAge returns the greatest age that an event can have which the clock of
// another VM showed as at. That clock was read after the heartbeat left and
// before its answer came, so the difference of the clocks is known to within
// that time. The second result is false when no answer has come yet.
func (gs *Gossiper) MaxAge(now time.Time, of ml.VMID, at time.Duration) (time.Duration, bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if of == gs.Self.ID {
		return gs.Clock.Read(now) - at, true
	}
	ahead, known := gs.ahead[of]
	return gs.Clock.Read(now) - (at - ahead), known
}

// MayGrant tells whether this VM may grant work for ep now.
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

// LiveMembers returns the live members of this VM's place as it sees them.
func (gs *Gossiper) LiveMembers(now time.Time) []ml.VMID {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.lessor.Alive(now)
}

// Observing tells whether this VM does not yet know its domain.
func (gs *Gossiper) Observing(now time.Time) bool {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.lessor.Observing(now)
}

// WithTable calls use with the routing table.
func (gs *Gossiper) WithTable(use func(ta *router.Table)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	use(gs.table)
}

// PeerAddress returns the address of an entry VM, or "".
func (gs *Gossiper) PeerAddress(id ml.VMID) string {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if en, found := gs.book[id]; found {
		return en.PeerAddress
	}
	en, _ := gs.Keeper.Entry(id)
	return en.PeerAddress
}

// Owner returns the entry VM that owns an endpoint, as heard since a time. When
// nothing was heard since, it is the fallback or, without one, the listed member
// of the endpoint's place that would win it if all were alive.
func (gs *Gossiper) Owner(ep ml.Endpoint, since time.Time, fallback ml.VMID) ml.VMID {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	owner, heard := gs.table.Owner(ep.ID)
	switch {
	case owner != "" && !heard.Before(since):
		return owner
	case fallback != "":
		return fallback
	default:
		return lessor.RendezvousOwner(gs.Keeper.EntriesAt(ep.Place()), ep.ID)
	}
}

// targets returns the members of the own place and a few others in turn. A
// peer that still has a heartbeat under way is left out, and one that is not
// listed and was not heard for long is forgotten.
func (gs *Gossiper) targets(now time.Time) []ml.EntryVM {
	known := make(map[ml.VMID]ml.EntryVM)
	for id, co := range gs.book {
		if now.Sub(co.heard) > contactKept {
			delete(gs.book, id)
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
		case gs.busy[en.PeerAddress]:
		case en.Place() == gs.Self.Place():
			out = append(out, en)
		default:
			remote = append(remote, en)
		}
	}
	sortByID(remote)
	fanout := min(remoteFanout, len(remote))
	if len(remote) > fewRemotes {
		fanout = manyFanout
	}
	for i := range fanout {
		out = append(out, remote[(gs.rotation+i)%len(remote)])
	}
	gs.rotation += fanout
	return out
}

// candidates returns the endpoints that this VM may come to own.
func (gs *Gossiper) candidates() []ml.EndpointID {
	out := []ml.EndpointID{}
	for _, ep := range gs.Keeper.EndpointsAt(gs.Self.Place()) {
		out = append(out, ep.ID)
	}
	return out
}

// syncTable drops endpoints that may not be given new work and renews this
// VM's own.
func (gs *Gossiper) syncTable(now time.Time, loads []ml.OwnedLoad) {
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
