// Package prober finds out whether this entry VM has lost its paths to all endpoints of a
// service, by opening connections when that is suspected.
package prober

import (
	"context"
	"log/slog"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/reacher"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// interval is the time between two looks at whether paths must be probed.
	interval = 50 * time.Millisecond
	// connectTimeout bounds a probe.
	connectTimeout = 300 * time.Millisecond
)

// Prober probes the paths to endpoints. Its fields must be set before Run.
type Prober struct {
	Exchanger ml.Exchanger
	Reacher   *reacher.Reacher
	// Endpoints returns the endpoints that can be used, by service.
	Endpoints func(now time.Time) map[ml.ServiceName][]ml.ListedEndpoint
	// OnChange is called when the paths to a service are lost, or back.
	OnChange func(service ml.ServiceName, isCut bool)
	Log      *slog.Logger
}

// Run probes until ctx ends.
func (pr *Prober) Run(ctx context.Context) error {
	return pacer.Every(ctx, interval, func(now time.Time) { pr.step(ctx, now) })
}

// step probes the paths to the services that may be lost, all at the same time.
func (pr *Prober) step(ctx context.Context, now time.Time) {
	suspects := pr.Reacher.MustProbe(now)
	if len(suspects) == 0 {
		return
	}
	all, wg := pr.Endpoints(now), sync.WaitGroup{}
	for _, service := range suspects {
		wg.Go(func() { pr.probe(ctx, now, service, all[service]) })
	}
	wg.Wait()
}

// probe probes the paths to a service.
func (pr *Prober) probe(ctx context.Context, now time.Time, service ml.ServiceName, all []ml.ListedEndpoint) {
	sample := pr.Reacher.Sample(now, service, all)
	results := pr.connect(ctx, sample)
	if ctx.Err() != nil || !pr.Reacher.RecordProbe(now, time.Now(), service, results) {
		return
	}
	ids, texts := make([]ml.EndpointID, len(sample)), make([]string, len(sample))
	for i := range sample {
		ids[i], texts[i] = sample[i].ID, results[i].String()
	}
	isCut := pr.Reacher.IsCut(service)
	pr.Log.Warn("paths", "service", service, "lost", isCut, "probed", ids, "results", texts)
	pr.OnChange(service, isCut)
}

// connect opens connections to endpoints at the same time.
func (pr *Prober) connect(ctx context.Context, sample []ml.ListedEndpoint) []ml.ConnectResult {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	out, wg := make([]ml.ConnectResult, len(sample)), sync.WaitGroup{}
	for i, ep := range sample {
		wg.Go(func() {
			out[i] = pr.Exchanger.Connect(ctx, ep)
			if out[i] == ml.ConnectOpened {
				pr.Reacher.RecordContact(time.Now(), ep.Service, ep.ID)
			}
		})
	}
	wg.Wait()
	return out
}
