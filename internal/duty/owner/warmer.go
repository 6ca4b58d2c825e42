package owner

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/google/uuid"

	ml "github.com/mulberrylever/mulberrylever"
)

// The small request that warms an engine.
const (
	warmPrompt  = "warm up"
	warmTokens  = 2
	warmTimeout = 5 * time.Second
	// warmTeam names warming requests in the engine's queue.
	warmTeam = ml.TeamID("(warming)")
)

// warm sends one small request to a cold engine that has nothing else to do.
// Its limit opens by success, so that long prompts find it warm.
func (de *desk) warm(ctx context.Context, now time.Time) {
	de.mu.Lock()
	defer de.mu.Unlock()
	due := de.endpoint.Kind == ml.KindEngine && de.granter.Limiter.Cold(now) && de.granter.Idle()
	if !due || de.warming || de.unusable(now) != "" || de.recovering(now) {
		return
	}
	de.warming = true
	go de.runWarm(ctx, de.endpoint)
}

func (de *desk) runWarm(ctx context.Context, ep ml.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	id := ml.GrantID("warm-" + uuid.NewString())
	gr := de.reserve(ctx, ml.Reservation{
		ID: id, Endpoint: ep.ID, Holder: de.owner.Self, Team: warmTeam, Prompt: warmTokens, Memory: 2 * warmTokens,
		DeadlineMs: warmTimeout.Milliseconds(), GrantTimeoutMs: warmTimeout.Milliseconds(),
	})
	if gr.Granted {
		ou := de.sendWarm(ctx, ep, id)
		de.tell(time.Now(), ml.GrantEvent{ID: id, Kind: ml.GrantReleased, Outcome: ou})
	}
	de.mu.Lock()
	defer de.mu.Unlock()
	de.warming = false
}

func (de *desk) sendWarm(ctx context.Context, ep ml.Endpoint, id ml.GrantID) ml.GrantOutcome {
	st, err := de.owner.Engine.Generate(ctx, ep, ml.GenerateRequest{ID: id, Model: ep.Model, Prompt: warmPrompt, MaxTokens: warmTokens})
	if err != nil {
		return ml.OutcomeEndpointFailed
	}
	defer st.Close()
	de.tell(time.Now(), ml.GrantEvent{ID: id, Kind: ml.GrantConfirmed, Incarnation: st.Incarnation()})
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
