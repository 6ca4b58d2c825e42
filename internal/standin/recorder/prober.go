package recorder

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/standin/fleetreader"
)

// probeInterval is the time between two probes of all VMs.
const probeInterval = 300 * time.Millisecond

// maxSnapshots bounds the lists kept for the configured lag.
const maxSnapshots = 64

// snapshot is the list of VMs at a point in time.
type snapshot struct {
	at  time.Time
	vms ml.VMs
}

// prober probes which VMs are live and returns the list of VMs with a lag.
type prober struct {
	fleet     fleetreader.Fleet
	mu        sync.Mutex
	snapshots []snapshot
	leaving   []string
	overloads map[string]int
	tracker   tracker
}

// loopProbe probes all VMs every probeInterval.
func (pr *prober) loopProbe(ctx context.Context) error {
	pr.probe(ctx)
	return pacer.Every(ctx, probeInterval, func(time.Time) { pr.probe(ctx) })
}

// probe probes all VMs in parallel and appends a snapshot.
func (pr *prober) probe(ctx context.Context) {
	vms := ml.VMs{Entries: slices.Clone(pr.fleet.VMs.Entries), Endpoints: slices.Clone(pr.fleet.VMs.Endpoints)}
	wg := sync.WaitGroup{}
	for i := range vms.Entries {
		en := &vms.Entries[i]
		wg.Go(func() { en.State = pr.probeState(ctx, string(en.ID), en.AdminAddress) })
	}
	for i := range vms.Endpoints {
		ep := &vms.Endpoints[i]
		wg.Go(func() { ep.State = pr.probeState(ctx, string(ep.ID), ep.Address) })
	}
	wg.Wait()
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.snapshots = append(pr.snapshots, snapshot{at: time.Now(), vms: vms})
	if len(pr.snapshots) > maxSnapshots {
		pr.snapshots = pr.snapshots[1:]
	}
}

// probeState returns the state of a VM. A VM that does not answer is absent.
func (pr *prober) probeState(ctx context.Context, id, address string) ml.VMState {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return ml.StateAbsent
	}
	rs, err := http.DefaultClient.Do(re)
	if err != nil {
		return ml.StateAbsent
	}
	_ = rs.Body.Close()
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if slices.Contains(pr.leaving, id) {
		return ml.StateLeaving
	}
	return ml.StateLive
}

// listChanges returns the changes of the lagging list after a version.
func (pr *prober) listChanges(now time.Time, since int64) listDelta {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.tracker.changesSince(now, pr.laggedList(now), since)
}

// laggedList returns the list as it was ListLagMs ago, or the oldest one kept. It
// omits absent VMs.
func (pr *prober) laggedList(now time.Time) ml.VMs {
	lag := time.Duration(pr.fleet.Platform.ListLagMs) * time.Millisecond
	listed := ml.VMs{}
	for i := len(pr.snapshots) - 1; i >= 0; i-- {
		listed = pr.snapshots[i].vms
		if now.Sub(pr.snapshots[i].at) >= lag {
			break
		}
	}
	return ml.VMs{
		Entries:   slices.DeleteFunc(slices.Clone(listed.Entries), func(en ml.EntryVM) bool { return en.State == ml.StateAbsent }),
		Endpoints: slices.DeleteFunc(slices.Clone(listed.Endpoints), func(ep ml.Endpoint) bool { return ep.State == ml.StateAbsent }),
	}
}

// setLeaving sets the VMs that are listed as leaving.
func (pr *prober) setLeaving(ids []string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.leaving = ids
}

// countOverload counts an overload of a cold engine.
func (pr *prober) countOverload(endpoint string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.overloads == nil {
		pr.overloads = make(map[string]int)
	}
	pr.overloads[endpoint]++
}

// overloadCounts returns the number of overloads by endpoint.
func (pr *prober) overloadCounts() map[string]int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return maps.Clone(pr.overloads)
}
