package forwarder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/reclaimer"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// holdTerm is how long an engine keeps memory that is not renewed.
	holdTerm          = 3 * time.Second
	holdRenewInterval = time.Second
	holdCallTimeout   = 800 * time.Millisecond
	// releaseWait bounds the wait for released memory before a request that has left a silent
	// engine is sent again: it may go to the engines that still held the memory.
	releaseWait = 100 * time.Millisecond
)

// errMemoryUnused means that no request used the memory that is reserved at the helpers.
var errMemoryUnused = errors.New("the reserved memory is not used")

// memoryHold is memory reserved at a helper.
type memoryHold struct {
	helper ml.ListedEndpoint
	id     ml.HoldID
	memory ml.Tokens
}

// helperList returns the helpers in the form that is sent to the lead engine.
func (pl *placement) helperList() []ml.Helper {
	out := make([]ml.Helper, 0, len(pl.helpers))
	for _, ep := range pl.helpers {
		he := ml.Helper{Endpoint: ep.Endpoint}
		for _, mh := range pl.holds {
			if mh.helper.ID == ep.ID {
				he.Hold = mh.id
			}
		}
		out = append(out, he)
	}
	return out
}

// helperIDs returns the ids of the helpers.
func (pl *placement) helperIDs() []ml.EndpointID {
	out := make([]ml.EndpointID, len(pl.helpers))
	for i, ep := range pl.helpers {
		out[i] = ep.ID
	}
	return out
}

// reserveMemory reserves memory at the helpers for the part of the prompt that the
// lead engine does not hold. If one of them fails, all are released. The holds are
// renewed until releaseMemory.
func (fo *Forwarder) reserveMemory(ctx context.Context, rq *Request, pl *placement) error {
	if pl.helperMemory == 0 {
		return nil
	}
	for i, ep := range pl.helpers {
		pl.holds = append(pl.holds, memoryHold{helper: ep, id: ml.HoldID(pl.flights[i+1]), memory: pl.helperMemory})
	}
	errs := make(chan error, len(pl.holds))
	for _, mh := range pl.holds {
		go fo.runReserve(ctx, mh, errs)
	}
	all := []error{}
	for range pl.holds {
		all = append(all, <-errs)
	}
	if err := errors.Join(all...); err != nil {
		fo.releaseMemory(pl)
		return fmt.Errorf("reserve memory for a prompt of %d tokens: %w", rq.Prompt, err)
	}
	pl.reservedAt = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	pl.stopRenewal = cancel
	for _, mh := range pl.holds {
		go fo.runRenewals(ctx, mh)
	}
	return nil
}

func (fo *Forwarder) reserve(ctx context.Context, mh memoryHold) error {
	ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	return fo.Exchanger.ReserveMemory(ctx, mh.helper, mh.id, mh.memory, holdTerm)
}

func (fo *Forwarder) runReserve(ctx context.Context, mh memoryHold, errs chan<- error) {
	errs <- fo.reserve(ctx, mh)
}

// runRenewals renews a hold until ctx ends.
func (fo *Forwarder) runRenewals(ctx context.Context, mh memoryHold) {
	_ = pacer.Every(ctx, holdRenewInterval, func(time.Time) { // returns only when ctx ends
		if err := fo.reserve(ctx, mh); err != nil && ctx.Err() == nil {
			fo.Log.Warn("memory hold not renewed", "ticket", mh.id, "endpoint", mh.helper.ID, "error", err)
		}
	})
}

// runHoldCheck cancels an attempt whose reserved memory no request uses, so that it is given back
// in time. It returns when the memory is used or ctx ends.
func (fo *Forwarder) runHoldCheck(ctx context.Context, rq *Request, pl *placement, holds []memoryHold, wd *watchdog, cancel context.CancelCauseFunc) {
	re := reclaimer.Reclaimer{MaxIdle: fo.MaxHoldIdle, Term: holdTerm}
	wait, limited := re.FirstCheck()
	for limited {
		pacer.Sleep(ctx, wait)
		if ctx.Err() != nil || wd.events.Load() > 0 {
			return
		}
		use := fo.holdUse(ctx, holds)
		ve := re.Decide(time.Now(), pl.reservedAt, use)
		if ve.Settled || ctx.Err() != nil {
			return
		}
		if ve.GiveBack {
			fo.Log.Warn("memory given back", "request", rq.Outgoing.Attempt, "endpoint", pl.lead.ID, "helpers", pl.helperIDs(),
				"use", use.String(), "idleMs", time.Since(pl.reservedAt).Milliseconds())
			fo.Metrics.MemoryGivenBack(rq)
			cancel(errMemoryUnused)
			return
		}
		wait = ve.CheckIn
	}
}

// holdUse asks the helpers whether a request uses their memory, all at the same time. They are
// filled one after the other, so that one of them is enough.
func (fo *Forwarder) holdUse(ctx context.Context, holds []memoryHold) ml.HoldUse {
	uses := make(chan ml.HoldUse, len(holds))
	for _, mh := range holds {
		go fo.runHoldUse(ctx, mh, uses)
	}
	most := ml.HoldUseUnknown
	for range holds {
		most = max(most, <-uses)
	}
	return most
}

func (fo *Forwarder) runHoldUse(ctx context.Context, mh memoryHold, uses chan<- ml.HoldUse) {
	ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	use, err := fo.Exchanger.HoldUse(ctx, mh.helper, mh.id)
	if err != nil && ctx.Err() == nil {
		fo.Log.Warn("use of memory hold unknown", "ticket", mh.id, "endpoint", mh.helper.ID, "error", err)
	}
	uses <- use
}

// releaseMemory releases the holds of a placement. It does not wait for the engines,
// since a hold that is not renewed expires.
func (fo *Forwarder) releaseMemory(pl *placement) {
	if pl.stopRenewal != nil {
		pl.stopRenewal()
	}
	for _, mh := range pl.holds {
		pl.releasing.Add(1)
		go fo.runRelease(mh, &pl.releasing)
	}
	pl.holds = nil
}

// awaitRelease waits for the orders that release holds, up to releaseWait.
func (pl *placement) awaitRelease() {
	released := make(chan struct{})
	go pl.runAwait(released)
	select {
	case <-released:
	case <-time.After(releaseWait):
	}
}

func (pl *placement) runAwait(released chan<- struct{}) {
	pl.releasing.Wait()
	close(released)
}

func (fo *Forwarder) runRelease(mh memoryHold, done *sync.WaitGroup) {
	defer done.Done()
	ctx, cancel := context.WithTimeout(context.Background(), holdCallTimeout)
	defer cancel()
	if err := fo.Exchanger.ReleaseMemory(ctx, mh.helper, mh.id); err != nil {
		fo.Log.Warn("memory hold not released", "ticket", mh.id, "endpoint", mh.helper.ID, "error", err)
	}
}
