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

// probeInterval is the time between two rounds of probes.
const probeInterval = 300 * time.Millisecond

// maxLists bounds the lists kept to show an old one.
const maxLists = 64

// seen is the list of VMs as it was at a time.
type seen struct {
	at  time.Time
	vms ml.VMs
}

// prober finds out which VMs are live and shows the list with a lag.
type prober struct {
	fleet     fleetreader.Fleet
	mu        sync.Mutex
	lists     []seen
	leaving   []string
	overloads map[string]int
	tracker   tracker
}

// loop probes all VMs, round after round.
func (pr *prober) loop(ctx context.Context) error {
	pr.probe(ctx)
	return pacer.Every(ctx, probeInterval, func(time.Time) { pr.probe(ctx) })
}

func (pr *prober) probe(ctx context.Context) {
	vms := ml.VMs{Entries: slices.Clone(pr.fleet.VMs.Entries), Endpoints: slices.Clone(pr.fleet.VMs.Endpoints)}
	wg := sync.WaitGroup{}
	for i := range vms.Entries {
		en := &vms.Entries[i]
		wg.Go(func() { en.State = pr.state(ctx, string(en.ID), en.AdminAddress) })
	}
	for i := range vms.Endpoints {
		ep := &vms.Endpoints[i]
		wg.Go(func() { ep.State = pr.state(ctx, string(ep.ID), ep.Address) })
	}
	wg.Wait()
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.lists = append(pr.lists, seen{at: time.Now(), vms: vms})
	if len(pr.lists) > maxLists {
		pr.lists = pr.lists[1:]
	}
}

func (pr *prober) state(ctx context.Context, id, address string) ml.VMState {
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

// shown returns what changed after a version in the list as it is shown now.
func (pr *prober) shown(now time.Time, since int64) listPart {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.tracker.show(now, pr.lagged(now), since)
}

// lagged returns the list as it was one lag ago, or the oldest one. Absent
// VMs are not listed.
func (pr *prober) lagged(now time.Time) ml.VMs {
	lag := time.Duration(pr.fleet.Platform.ListLagMs) * time.Millisecond
	out := ml.VMs{}
	for i := len(pr.lists) - 1; i >= 0; i-- {
		out = pr.lists[i].vms
		if now.Sub(pr.lists[i].at) >= lag {
			break
		}
	}
	return ml.VMs{
		Entries:   slices.DeleteFunc(slices.Clone(out.Entries), func(en ml.EntryVM) bool { return en.State == ml.StateAbsent }),
		Endpoints: slices.DeleteFunc(slices.Clone(out.Endpoints), func(ep ml.Endpoint) bool { return ep.State == ml.StateAbsent }),
	}
}

func (pr *prober) setLeaving(ids []string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.leaving = ids
}

func (pr *prober) addOverload(endpoint string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.overloads == nil {
		pr.overloads = make(map[string]int)
	}
	pr.overloads[endpoint]++
}

func (pr *prober) listOverloads() map[string]int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return maps.Clone(pr.overloads)
}
