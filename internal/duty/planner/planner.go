// Package planner switches the engines of one place on and off. A place is a
// failure domain, or a cell of a large one. One planner per place holds a lease
// in the log. The offset of the lease is the fencing number of its orders.
package planner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/decision/scaler"
	"github.com/mulberrylever/mulberrylever/internal/duty/follower"
	"github.com/mulberrylever/mulberrylever/internal/duty/holder"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/duty/writer"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

const (
	planInterval = 500 * time.Millisecond
	leaseTerm    = 10 * time.Second
	// leaseRequestInterval is the shortest time between two requests for the
	// lease, for a first one as well as for a renewal.
	leaseRequestInterval = 3 * time.Second
	// leaseTakeoverMargin is the time after the end of a lease's term before
	// another VM requests it.
	leaseTakeoverMargin = 2 * time.Second
	orderTimeout        = 2 * time.Second
)

var ordersSent = metrics.NewCounter("mulberrylever_orders_total")

// RoutingTable gives access to the routing table.
type RoutingTable interface {
	// WithTable calls use while it holds the table's lock.
	WithTable(use func(ta *router.Table))
}

// Planner decides which engines of one place are on, and sends the orders.
type Planner struct {
	Self     ml.EntryVM
	Keeper   *keeper.Keeper
	Follower *follower.Follower
	Writer   *writer.Writer
	Routes   RoutingTable
	Holder   *holder.Holder
	Engine   ml.Engine
	Log      *slog.Logger

	scaler      scaler.Scaler
	requestedAt time.Time        // when the lease was last requested
	fencing     ml.FencingNumber // of this VM's newest lease
	expiresAt   time.Time        // end of that lease, by this VM's clock
}

// String returns the component's name for logs.
func (pl *Planner) String() string { return "planner" }

// Run decides and sends orders at regular intervals until ctx ends.
func (pl *Planner) Run(ctx context.Context) error {
	return pacer.Every(ctx, planInterval, func(now time.Time) {
		if pl.Keeper.View().Config.Power.Enabled {
			pl.plan(ctx, now)
		}
	})
}

// plan sends the orders that are due. It requests the lease only if there are
// any.
func (pl *Planner) plan(ctx context.Context, now time.Time) {
	po := pl.Keeper.View().Config.Power
	orders := pl.scaler.Decide(now, pl.engines(now), scaler.Limits{
		WakeAbovePerCent: po.WakeAbovePerCent, SleepBelowPerCent: po.SleepBelowPerCent, MinOrderInterval: configurer.Millis(po.MinOrderIntervalMs), MinAwake: po.MinAwake,
	})
	if len(orders) == 0 || !pl.ensureLease(ctx, now) {
		return
	}
	for _, or := range orders {
		pl.scaler.RecordOrder(now, or)
		if err := pl.send(ctx, or); err != nil {
			pl.Log.Warn("failed to send an order", "action", or.Action, "endpoint", or.Endpoint.ID, "error", err)
		}
	}
}

// ensureLease reports whether this VM holds the lease. It requests the lease if
// it is free or due for renewal.
func (pl *Planner) ensureLease(ctx context.Context, now time.Time) bool {
	le, found := pl.Follower.Lease(pl.Self.Place())
	mine := found && le.Holder == pl.Self.ID
	if mine && le.Fencing != pl.fencing {
		// The term counts from the request, which is before the log's time.
		pl.fencing, pl.expiresAt = le.Fencing, pl.requestedAt.Add(leaseTerm)
	}
	free := !found || now.Sub(le.At) > configurer.Millis(le.TermMs)+leaseTakeoverMargin
	renew := mine && now.Sub(pl.requestedAt) > leaseRequestInterval
	if (free || renew) && now.Sub(pl.requestedAt) > leaseRequestInterval {
		pl.requestLease(ctx, now)
	}
	return mine && now.Before(pl.expiresAt)
}

// requestLease appends a lease record to the log.
func (pl *Planner) requestLease(ctx context.Context, now time.Time) {
	rec, err := folder.NewRecord("lease/"+uuid.NewString(), folder.KindLease, folder.Lease{
		Place: pl.Self.Place().String(), Holder: pl.Self.ID, TermMs: leaseTerm.Milliseconds(),
	})
	if err != nil {
		pl.Log.Error("failed to encode a lease", "error", err)
		return
	}
	pl.requestedAt = now
	appendCtx, cancel := context.WithTimeout(ctx, leaseRequestInterval)
	context.AfterFunc(appendCtx, cancel)
	pl.Writer.Enqueue(appendCtx, rec)
}

// engines returns the engines of this VM's place that are in service.
func (pl *Planner) engines(now time.Time) []scaler.Engine {
	vi, out := pl.Keeper.View(), []scaler.Engine{}
	pl.Routes.WithTable(func(ta *router.Table) {
		for _, ep := range pl.Keeper.EndpointsAt(pl.Self.Place()) {
			if ep.Kind == ml.KindEngine && vi.OutOfServiceReason(ep) == "" {
				lo, awake := ta.Load(now, ep.ID)
				out = append(out, scaler.Engine{Endpoint: ep, Load: lo, Awake: awake})
			}
		}
	})
	return out
}

// send sends one order. An engine is switched off only while a grant for all of
// its memory blocks other requests, so that no request is interrupted.
func (pl *Planner) send(ctx context.Context, or scaler.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if or.Action == scaler.Sleep {
		he, err := pl.reserveEngine(ctx, or.Endpoint)
		if err != nil {
			return fmt.Errorf("reserve all memory of the engine: %w", err)
		}
		defer he.Release(ml.OutcomeCompleted)
	}
	if now := time.Now(); !now.Before(pl.expiresAt) {
		return errors.New("the lease has expired")
	}
	ordersSent.Inc()
	pl.Log.Info("sending an order", "action", or.Action, "endpoint", or.Endpoint.ID, "fencing", pl.fencing)
	return pl.Engine.Order(ctx, or.Endpoint, ml.Order{Fencing: pl.fencing, Action: or.Action, Model: or.Endpoint.Model})
}

// reserveEngine reserves all memory of an engine.
func (pl *Planner) reserveEngine(ctx context.Context, ep ml.Endpoint) (*holder.HeldGrant, error) {
	owner := ml.VMID("")
	pl.Routes.WithTable(func(ta *router.Table) { owner, _ = ta.Owner(ep.ID) })
	return pl.Holder.Reserve(ctx, ep, owner, ml.Reservation{
		ID: ml.GrantID("sleep-" + uuid.NewString()), Endpoint: ep.ID, Holder: pl.Self.ID, Team: "(planner)",
		Memory: ep.Memory, Member: true, DeadlineMs: orderTimeout.Milliseconds(), GrantTimeoutMs: (orderTimeout / 4).Milliseconds(),
	})
}
