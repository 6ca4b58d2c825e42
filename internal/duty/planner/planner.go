// Package planner switches the engines of its place (a failure domain, or a
// cell of a large one) on and off. One planner per place holds a lease in the log; the lease's offset is the
// fencing number of its orders.
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
	// interval is the time between two decisions.
	interval = 500 * time.Millisecond
	// leaseTerm is the length of a lease.
	leaseTerm = 10 * time.Second
	// renewAfter is the age at which the holder renews its lease for further
	// orders, and the time between two tries to get it.
	renewAfter = 3 * time.Second
	// leaseMargin is the time beyond a lease's term that others wait.
	leaseMargin = 2 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 2 * time.Second
)

var ordersGiven = metrics.NewCounter("mulberrylever_orders_total")

// RoutingTable holds the routing table.
type RoutingTable interface {
	WithTable(use func(ta *router.Table))
}

// Planner plans one place.
type Planner struct {
	Self     ml.EntryVM
	Keeper   *keeper.Keeper
	Follower *follower.Follower
	Writer   *writer.Writer
	Routes   RoutingTable
	Holder   *holder.Holder
	Engine   ml.Engine
	Log      *slog.Logger

	scaler scaler.Scaler
	asked  time.Time        // when the newest lease was asked for
	seen   ml.FencingNumber // the newest lease of this VM
	until  time.Time        // end of that lease, by this VM's clock
}

// String names the step in logs.
func (pl *Planner) String() string { return "planner" }

// Run plans until ctx ends.
func (pl *Planner) Run(ctx context.Context) error {
	return pacer.Every(ctx, interval, func(now time.Time) {
		if pl.Keeper.View().Config.Power.Enabled {
			pl.plan(ctx, now)
		}
	})
}

// plan gives the orders that are due. Only then it asks for the lease.
func (pl *Planner) plan(ctx context.Context, now time.Time) {
	po := pl.Keeper.View().Config.Power
	orders := pl.scaler.Decide(now, pl.engines(now), scaler.Limits{
		WakeAbovePerCent: po.WakeAbovePerCent, SleepBelowPerCent: po.SleepBelowPerCent, MinOrderInterval: configurer.Millis(po.MinOrderIntervalMs), MinAwake: po.MinAwake,
	})
	if len(orders) == 0 || !pl.hold(ctx, now) {
		return
	}
	for _, or := range orders {
		pl.scaler.RecordOrder(now, or)
		if err := pl.carryOut(ctx, or); err != nil {
			pl.Log.Warn("order", "action", or.Action, "endpoint", or.Endpoint.ID, "error", err)
		}
	}
}

// hold tells whether this VM holds the lease, and asks for it when it is free
// or due to be renewed.
func (pl *Planner) hold(ctx context.Context, now time.Time) bool {
	le, found := pl.Follower.Lease(pl.Self.Place())
	mine := found && le.Holder == pl.Self.ID
	if mine && le.Fencing != pl.seen {
		// It counts from when it was asked for, before the log took it.
		pl.seen, pl.until = le.Fencing, pl.asked.Add(leaseTerm)
	}
	free := !found || now.Sub(le.At) > configurer.Millis(le.TermMs)+leaseMargin
	due := mine && now.Sub(pl.asked) > renewAfter
	if (free || due) && now.Sub(pl.asked) > renewAfter {
		pl.ask(ctx, now)
	}
	return mine && now.Before(pl.until)
}

func (pl *Planner) ask(ctx context.Context, now time.Time) {
	rec, err := folder.NewRecord("lease/"+uuid.NewString(), folder.KindLease, folder.Lease{
		Place: pl.Self.Place().String(), Holder: pl.Self.ID, TermMs: leaseTerm.Milliseconds(),
	})
	if err != nil {
		pl.Log.Error("encode lease", "error", err)
		return
	}
	pl.asked = now
	offer, cancel := context.WithTimeout(ctx, renewAfter)
	context.AfterFunc(offer, cancel)
	pl.Writer.Enqueue(offer, rec)
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

// carryOut gives one order. An engine is switched off only while a grant for
// all of its memory keeps everything else away, so that no request is cut off.
func (pl *Planner) carryOut(ctx context.Context, or scaler.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if or.Action == scaler.Sleep {
		he, err := pl.empty(ctx, or.Endpoint)
		if err != nil {
			return fmt.Errorf("empty engine: %w", err)
		}
		defer he.Release(ml.OutcomeCompleted)
	}
	if now := time.Now(); !now.Before(pl.until) {
		return errors.New("the lease has run out")
	}
	ordersGiven.Inc()
	pl.Log.Info("order", "action", or.Action, "endpoint", or.Endpoint.ID, "fencing", pl.seen)
	return pl.Engine.Order(ctx, or.Endpoint, ml.Order{Fencing: pl.seen, Action: or.Action, Model: or.Endpoint.Model})
}

func (pl *Planner) empty(ctx context.Context, ep ml.Endpoint) (*holder.HeldGrant, error) {
	owner := ml.VMID("")
	pl.Routes.WithTable(func(ta *router.Table) { owner, _ = ta.Owner(ep.ID) })
	return pl.Holder.Reserve(ctx, ep, owner, ml.Reservation{
		ID: ml.GrantID("sleep-" + uuid.NewString()), Endpoint: ep.ID, Holder: pl.Self.ID, Team: "(planner)",
		Memory: ep.Memory, Member: true, DeadlineMs: orderTimeout.Milliseconds(), GrantTimeoutMs: (orderTimeout / 4).Milliseconds(),
	})
}
