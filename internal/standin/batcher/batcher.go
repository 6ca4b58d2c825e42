// Package batcher is the stand-in model engine: continuous batching with
// chunked prompts, a prefix cache in limited memory, priorities, streams that
// can be resumed and cancelled, held KV caches, load reports with a lag, cache
// events late and with gaps, and a cold state in which overload ends the
// process.
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
	// OnColdOverload is called when a cold engine was given more than it can
	// carry. The stand-in program ends the process.
	OnColdOverload func(running int)

	sc      scheduler
	reports reportRing
	server  *http.Server
}

// String names the step in logs.
func (ba *Batcher) String() string { return "stand-in engine" }

// Run serves until ctx ends.
func (ba *Batcher) Run(ctx context.Context) error {
	ba.sc.model = ba.Fleet.Engine
	ba.sc.endpoint = ba.Endpoint
	ba.sc.cache.capacity = int(ba.Fleet.Engine.CacheTokens) / blockTokens
	ba.sc.restart(newIncarnation())
	for _, id := range ba.Fleet.Asleep {
		ba.sc.asleep = ba.sc.asleep || id == string(ba.Endpoint.ID)
	}
	li, err := net.Listen("tcp", ba.Endpoint.Address)
	if err != nil {
		return fmt.Errorf("%s: listen: %w", ba, err)
	}
	ba.server = &http.Server{Handler: ba.handler(), ReadHeaderTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(ctx)
	gr := run.Group{}
	gr.Add(func() error { return ba.server.Serve(li) }, func(error) { _ = ba.server.Close() })
	gr.Add(func() error { return ba.loop(ctx) }, func(error) { cancel() })
	gr.Add(func() error { return ba.reports.loop(ctx, &ba.sc) }, func(error) { cancel() })
	if err := gr.Run(); ctx.Err() == nil {
		return fmt.Errorf("%s: %w", ba, err)
	}
	return nil
}

// loop does one step of the batch after another.
func (ba *Batcher) loop(ctx context.Context) error {
	const idle = time.Millisecond
	for ctx.Err() == nil {
		wo := ba.sc.plan()
		if wo.length == 0 {
			time.Sleep(idle)
			continue
		}
		time.Sleep(wo.length)
		ba.sc.apply(time.Now(), wo)
	}
	return ctx.Err()
}

func newIncarnation() ml.Incarnation { return ml.Incarnation(uuid.NewString()[:8]) }
