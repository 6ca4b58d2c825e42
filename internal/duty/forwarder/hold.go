package forwarder

import (
	"context"
	"fmt"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// holdTerm is how long an engine keeps memory that is not renewed.
	holdTerm          = 3 * time.Second
	holdRenewInterval = time.Second
	holdCallTimeout   = 800 * time.Millisecond
)

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
		mh := memoryHold{helper: ep, id: ml.HoldID(pl.flights[i+1]), memory: pl.helperMemory}
		pl.holds = append(pl.holds, mh)
		if err := fo.reserve(ctx, mh); err != nil {
			fo.releaseMemory(pl)
			return fmt.Errorf("reserve memory for a prompt of %d tokens: %w", rq.Prompt, err)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	pl.stopRenewal = cancel
	go fo.runRenewals(ctx, pl.holds)
	return nil
}

func (fo *Forwarder) reserve(ctx context.Context, mh memoryHold) error {
	ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	return fo.Exchanger.ReserveMemory(ctx, mh.helper, mh.id, mh.memory, holdTerm)
}

// runRenewals renews holds until ctx ends.
func (fo *Forwarder) runRenewals(ctx context.Context, holds []memoryHold) {
	_ = pacer.Every(ctx, holdRenewInterval, func(time.Time) { // returns only when ctx ends
		for _, mh := range holds {
			if err := fo.reserve(ctx, mh); err != nil && ctx.Err() == nil {
				fo.Log.Warn("memory hold not renewed", "ticket", mh.id, "endpoint", mh.helper.ID, "error", err)
			}
		}
	})
}

// releaseMemory releases the holds of a placement. It does not wait for the engines,
// since a hold that is not renewed expires.
func (fo *Forwarder) releaseMemory(pl *placement) {
	if pl.stopRenewal != nil {
		pl.stopRenewal()
	}
	for _, mh := range pl.holds {
		go fo.runRelease(mh)
	}
	pl.holds = nil
}

func (fo *Forwarder) runRelease(mh memoryHold) {
	ctx, cancel := context.WithTimeout(context.Background(), holdCallTimeout)
	defer cancel()
	if err := fo.Exchanger.ReleaseMemory(ctx, mh.helper, mh.id); err != nil {
		fo.Log.Warn("memory hold not released", "ticket", mh.id, "endpoint", mh.helper.ID, "error", err)
	}
}
