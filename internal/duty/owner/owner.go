// Package owner grants work for the endpoints that this entry VM owns. It
// answers the reservations of holders on all entry VMs. For each owned endpoint
// it counts the granted work and compares it with what the endpoint reports.
package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/granter"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

// updateInterval is the time between two updates of the owned endpoints, and of
// each endpoint's queue.
const updateInterval = 50 * time.Millisecond

// Membership reports which endpoints this VM owns.
type Membership interface {
	MayGrant(now time.Time, ep ml.EndpointID) bool
	OwnedEndpoints(now time.Time) []ml.Endpoint
}

// Owner grants work for the endpoints that this VM owns.
type Owner struct {
	Self       ml.VMID
	Timing     ml.Timing
	Clock      ml.Clock
	Engine     ml.Engine
	Membership Membership
	Keeper     *keeper.Keeper
	Auditor    *auditor.Auditor
	Log        *slog.Logger

	mu       sync.Mutex
	granters map[ml.EndpointID]*endpointGranter
}

// String returns the component's name for logs.
func (ow *Owner) String() string { return "owner" }

// Run keeps the endpoint granters in line with the owned endpoints until ctx
// ends.
func (ow *Owner) Run(ctx context.Context) error {
	ow.syncGranters(ctx, time.Now())
	return pacer.Every(ctx, updateInterval, func(now time.Time) { ow.syncGranters(ctx, now) })
}

// syncGranters starts granters for newly owned endpoints and stops those of
// endpoints that this VM no longer owns.
func (ow *Owner) syncGranters(ctx context.Context, now time.Time) {
	owned := make(map[ml.EndpointID]ml.Endpoint)
	for _, ep := range ow.Membership.OwnedEndpoints(now) {
		owned[ep.ID] = ep
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.granters == nil {
		ow.granters = make(map[ml.EndpointID]*endpointGranter)
	}
	for id, eg := range ow.granters {
		ep, stillOwned := owned[id]
		if !stillOwned {
			eg.close()
			delete(ow.granters, id)
			ow.Log.Info("endpoint ownership lost", "endpoint", id)
			continue
		}
		eg.setEndpoint(ep)
	}
	for id, ep := range owned {
		if ow.granters[id] == nil {
			ow.granters[id] = ow.startGranter(ctx, now, ep)
			ow.Log.Info("endpoint ownership acquired", "endpoint", id)
		}
	}
}

func (ow *Owner) startGranter(ctx context.Context, now time.Time, ep ml.Endpoint) *endpointGranter {
	ctx, cancel := context.WithCancel(ctx)
	eg := &endpointGranter{
		owner: ow, cancel: cancel, startedAt: now, endpoint: ep,
		granter: granter.New(ep, ow.Timing, ow.Keeper.View().Config.Routing.LongPromptShare),
		pending: make(map[ml.GrantID]chan ml.Grant),
	}
	go func() { _ = eg.run(ctx) }()
	return eg
}

// Loads returns the loads of the endpoints that can take work.
func (ow *Owner) Loads(now time.Time) []ml.OwnedLoad {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	out := make([]ml.OwnedLoad, 0, len(ow.granters))
	for id, eg := range ow.granters {
		if lo, usable := eg.load(now); usable {
			out = append(out, ml.OwnedLoad{Endpoint: id, Load: lo})
		}
	}
	return out
}

// OnReserve answers a reservation. It waits until the request is granted or
// refused.
func (ow *Owner) OnReserve(ctx context.Context, re ml.Reservation) ml.Grant {
	eg := ow.granterOf(re.Endpoint)
	if eg == nil {
		return ml.Grant{Type: ml.ErrEndpointNotFound, Reason: "this VM is not the owner"}
	}
	return eg.reserve(ctx, re)
}

// OnGrantEvents records what holders report about their grants.
func (ow *Owner) OnGrantEvents(events []ml.GrantEvent) {
	for _, ev := range events {
		if eg := ow.granterOf(ev.Endpoint); eg != nil {
			eg.record(time.Now(), ev)
		}
	}
}

func (ow *Owner) granterOf(id ml.EndpointID) *endpointGranter {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.granters[id]
}
