// Package watcher reads the platform's list of VMs again and again. While the
// platform can't be reached the last list stays in use, and a new entry VM
// takes list and fleet state over from its neighbours.
package watcher

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

// interval is the time between two reads of the list.
const interval = 500 * time.Millisecond

var listErrors = metrics.NewCounter("mulberrylever_vm_list_errors_total")

// Watcher reads the list.
type Watcher struct {
	List       ml.VMList
	Peers      ml.Peers
	Keeper     *keeper.Keeper
	Neighbours []string // peer addresses
	Adopt      func(state json.RawMessage) error
	Log        *slog.Logger
}

// String names the step in logs.
func (wa *Watcher) String() string { return "VM list watcher" }

// Run reads until ctx ends.
func (wa *Watcher) Run(ctx context.Context) error {
	wa.read(ctx)
	return pacer.Every(ctx, interval, func(time.Time) { wa.read(ctx) })
}

func (wa *Watcher) read(ctx context.Context) {
	vms, changed, err := wa.List.List(ctx)
	switch {
	case err != nil:
		listErrors.Inc()
		wa.Log.Warn("list VMs", "error", err)
	case changed:
		wa.Keeper.SetVMs(vms)
	}
	if !wa.Keeper.Loaded() {
		wa.askNeighbours(ctx)
	}
}

// askNeighbours takes over the newest state of all neighbours that answer.
func (wa *Watcher) askNeighbours(ctx context.Context) {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, address := range wa.Neighbours {
		ns, err := wa.Peers.State(ctx, address)
		if err != nil {
			wa.Log.Warn("ask neighbour", "peer", address, "error", err)
			continue
		}
		if err := wa.Adopt(ns.Fleet); err != nil {
			wa.Log.Warn("adopt state", "peer", address, "error", err)
			continue
		}
		if len(wa.Keeper.VMs().Endpoints) == 0 {
			wa.Keeper.SetVMs(ns.VMs)
		}
	}
}
