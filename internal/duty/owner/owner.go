// Package owner grants work for the endpoints that this entry VM owns. Each
// owned endpoint has a desk, which counts what the endpoint has been given
// and compares it with the endpoint's own list.
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

// interval is the time between two looks at the endpoints and their queues.
const interval = 50 * time.Millisecond

// Membership tells what this VM owns.
type Membership interface {
	MayGrant(now time.Time, ep ml.EndpointID) bool
	OwnedEndpoints(now time.Time) []ml.Endpoint
}

// Owner grants work.
type Owner struct {
	Self       ml.VMID
	Timing     ml.Timing
	Clock      ml.Clock
	Engine     ml.Engine
	Membership Membership
	Keeper     *keeper.Keeper
	Auditor    *auditor.Auditor
	Log        *slog.Logger

	mu    sync.Mutex
	desks map[ml.EndpointID]*desk
}

// String names the step in logs.
func (ow *Owner) String() string { return "owner" }

// Run opens and closes desks until ctx ends.
func (ow *Owner) Run(ctx context.Context) error {
	ow.adjust(ctx, time.Now())
	return pacer.Every(ctx, interval, func(now time.Time) { ow.adjust(ctx, now) })
}

// adjust makes the desks match what this VM owns.
func (ow *Owner) adjust(ctx context.Context, now time.Time) {
	owned := make(map[ml.EndpointID]ml.Endpoint)
	for _, ep := range ow.Membership.OwnedEndpoints(now) {
		owned[ep.ID] = ep
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.desks == nil {
		ow.desks = make(map[ml.EndpointID]*desk)
	}
	for id, de := range ow.desks {
		ep, still := owned[id]
		if !still {
			de.close()
			delete(ow.desks, id)
			ow.Log.Info("no longer owner", "endpoint", id)
			continue
		}
		de.list(ep)
	}
	for id, ep := range owned {
		if ow.desks[id] == nil {
			ow.desks[id] = ow.open(ctx, now, ep)
			ow.Log.Info("owner", "endpoint", id)
		}
	}
}

func (ow *Owner) open(ctx context.Context, now time.Time, ep ml.Endpoint) *desk {
	ctx, cancel := context.WithCancel(ctx)
	de := &desk{
		owner: ow, cancel: cancel, opened: now, endpoint: ep,
		granter: granter.New(ep, ow.Timing, ow.Keeper.View().Config.Routing.LongPromptShare),
		waiting: make(map[ml.GrantID]chan ml.Grant),
	}
	go func() { _ = de.run(ctx) }()
	return de
}

// Loads returns the loads of the endpoints that can take work.
func (ow *Owner) Loads(now time.Time) []ml.OwnedLoad {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	out := make([]ml.OwnedLoad, 0, len(ow.desks))
	for id, de := range ow.desks {
		if lo, usable := de.load(now); usable {
			out = append(out, ml.OwnedLoad{Endpoint: id, Load: lo})
		}
	}
	return out
}

// OnReserve waits for a grant on an owned endpoint.
func (ow *Owner) OnReserve(ctx context.Context, re ml.Reservation) ml.Grant {
	de := ow.desk(re.Endpoint)
	if de == nil {
		return ml.Grant{Type: ml.ErrEndpointNotFound, Reason: "this VM is not the owner"}
	}
	return de.reserve(ctx, re)
}

// OnGrantEvents records news of grants.
func (ow *Owner) OnGrantEvents(news []ml.GrantEvent) {
	for _, ne := range news {
		if de := ow.desk(ne.Endpoint); de != nil {
			de.tell(time.Now(), ne)
		}
	}
}

func (ow *Owner) desk(id ml.EndpointID) *desk {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.desks[id]
}
