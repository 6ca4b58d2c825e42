// Package watcher polls the platform's list of VMs. While the platform can't be
// reached, the last list stays in use, and a new entry VM gets the list and the fleet
// state from its neighbours.
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

const pollInterval = 500 * time.Millisecond

var listErrors = metrics.NewCounter("mulberrylever_vm_list_errors_total")

// Watcher polls the platform's list of VMs.
type Watcher struct {
	List       ml.VMList
	Peers      ml.Peers
	Keeper     *keeper.Keeper
	Neighbours []string                          // peer addresses
	Adopt      func(state json.RawMessage) error // applies a neighbour's fleet state if it is newer
	Log        *slog.Logger
}

// String returns the component's name for logs.
func (wa *Watcher) String() string { return "VM list watcher" }

// Run polls the list until ctx ends.
func (wa *Watcher) Run(ctx context.Context) error {
	wa.poll(ctx)
	return pacer.Every(ctx, pollInterval, func(time.Time) { wa.poll(ctx) })
}

func (wa *Watcher) poll(ctx context.Context) {
	sentAt := time.Now()
	vms, changed, err := wa.List.List(ctx)
	switch {
	case err != nil:
		listErrors.Inc()
		wa.Log.Warn("VM list not read", "error", err)
	case changed:
		wa.Keeper.SetVMs(vms)
		wa.Keeper.ConfirmVMs(sentAt)
	default:
		wa.Keeper.ConfirmVMs(sentAt)
	}
	if !wa.Keeper.Loaded() {
		wa.fetchFromNeighbours(ctx)
	}
}

// fetchFromNeighbours applies the fleet state of each neighbour that answers, and its VM
// list if this VM has no list with endpoints.
func (wa *Watcher) fetchFromNeighbours(ctx context.Context) {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, address := range wa.Neighbours {
		ns, err := wa.Peers.State(ctx, address)
		if err != nil {
			wa.Log.Warn("fleet state not fetched from neighbour", "peer", address, "error", err)
			continue
		}
		if err := wa.Adopt(ns.Fleet); err != nil {
			wa.Log.Warn("fleet state not applied", "peer", address, "error", err)
			continue
		}
		if len(wa.Keeper.VMs().Endpoints) == 0 {
			wa.Keeper.SetVMs(ns.VMs)
		}
	}
}
