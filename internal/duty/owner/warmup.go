package owner

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/google/uuid"

	ml "github.com/mulberrylever/mulberrylever"
)

// The small request that warms up an engine.
const (
	warmUpPrompt    = "warm up"
	warmUpMaxTokens = 2
	warmUpTimeout   = 5 * time.Second
	// warmUpTeam is the team of warm-up requests in the queue.
	warmUpTeam = ml.TeamID("(warming)")
)

// startWarmUp sends one small request to an idle cold engine. Completed requests
// make an engine count as warm, so that long prompts are then admitted.
func (eg *endpointGranter) startWarmUp(ctx context.Context, now time.Time) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	due := eg.endpoint.Kind == ml.KindEngine && eg.granter.Limiter.Cold(now) && eg.granter.Idle()
	if !due || eg.warmingUp || eg.unavailableReason(now) != "" || eg.recovering(now) {
		return
	}
	eg.warmingUp = true
	go eg.runWarmUp(ctx, eg.endpoint)
}

func (eg *endpointGranter) runWarmUp(ctx context.Context, ep ml.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	id := ml.GrantID("warm-" + uuid.NewString())
	gr := eg.reserve(ctx, ml.Reservation{
		ID: id, Endpoint: ep.ID, Holder: eg.owner.Self, Team: warmUpTeam, Prompt: warmUpMaxTokens, Memory: 2 * warmUpMaxTokens,
		DeadlineMs: warmUpTimeout.Milliseconds(), GrantTimeoutMs: warmUpTimeout.Milliseconds(),
	})
	if gr.Granted {
		ou := eg.sendWarmUp(ctx, ep, id)
		eg.record(time.Now(), ml.GrantEvent{ID: id, Kind: ml.GrantReleased, Outcome: ou})
	}
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.warmingUp = false
}

func (eg *endpointGranter) sendWarmUp(ctx context.Context, ep ml.Endpoint, id ml.GrantID) ml.GrantOutcome {
	st, err := eg.owner.Engine.Generate(ctx, ep, ml.GenerateRequest{ID: id, Model: ep.Model, Prompt: warmUpPrompt, MaxTokens: warmUpMaxTokens})
	if err != nil {
		return ml.OutcomeEndpointFailed
	}
	defer st.Close()
	eg.record(time.Now(), ml.GrantEvent{ID: id, Kind: ml.GrantConfirmed, Incarnation: st.Incarnation()})
	for {
		_, err := st.Next()
		if errors.Is(err, io.EOF) {
			return ml.OutcomeCompleted
		}
		if err != nil {
			return ml.OutcomeEndpointFailed
		}
	}
}
