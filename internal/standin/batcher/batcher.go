// Package batcher is the stand-in model engine of demos and tests. It simulates
// continuous batching with chunked prefill, priorities, a prefix cache of limited
// size, streams that can be resumed and cancelled, memory held for KV caches,
// lagging load reports, delayed and lossy cache events, and a cold state in which
// overload ends the process.
package batcher

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/standin/fleetreader"
)

// Batcher runs one stand-in engine.
type Batcher struct {
	Fleet    fleetreader.Fleet
	Endpoint ml.Endpoint
	Log      *slog.Logger
	// OnColdOverload is called when a cold engine exceeds ColdRequests or
	// ColdTokens, with the highest number of concurrent streams seen while cold.
	// The stand-in program exits.
	OnColdOverload func(peakStreams int)

	scheduler scheduler
	reports   reportRing
	server    *http.Server
}

// String returns the name used in errors.
func (ba *Batcher) String() string { return "stand-in engine" }

// Run serves until ctx is done.
func (ba *Batcher) Run(ctx context.Context) error {
	ba.scheduler.config = ba.Fleet.Engine
	ba.scheduler.endpoint = ba.Endpoint
	ba.scheduler.cache.capacity = int(ba.Fleet.Engine.CacheTokens) / blockTokens
	ba.scheduler.restart(newIncarnation())
	for _, id := range ba.Fleet.InitiallyAsleep {
		ba.scheduler.asleep = ba.scheduler.asleep || id == string(ba.Endpoint.ID)
	}
	li, err := net.Listen("tcp", ba.Endpoint.Address)
	if err != nil {
		return fmt.Errorf("%s: listen: %w", ba, err)
	}
	ba.server = &http.Server{Handler: ba.handler(), ReadHeaderTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(ctx)
	gr := run.Group{}
	gr.Add(func() error { return ba.server.Serve(li) }, func(error) { _ = ba.server.Close() })
	gr.Add(func() error { return ba.loopSteps(ctx) }, func(error) { cancel() })
	gr.Add(func() error { return ba.reports.loopRecord(ctx, &ba.scheduler) }, func(error) { cancel() })
	if err := gr.Run(); ctx.Err() == nil {
		return fmt.Errorf("%s: %w", ba, err)
	}
	return nil
}

// loopSteps executes batch steps. It sleeps for the simulated duration of each.
func (ba *Batcher) loopSteps(ctx context.Context) error {
	const idlePollInterval = time.Millisecond
	for ctx.Err() == nil {
		st := ba.scheduler.planStep()
		if st.duration == 0 {
			time.Sleep(idlePollInterval)
			continue
		}
		time.Sleep(st.duration)
		ba.scheduler.applyStep(time.Now(), st)
	}
	return ctx.Err()
}

// newIncarnation returns a random incarnation, which identifies one run of the
// engine between restarts.
func newIncarnation() ml.Incarnation { return ml.Incarnation(uuid.NewString()[:8]) }
