package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/holder"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

const (
	// stallLimit is the longest time between two tokens before the engine
	// counts as frozen.
	stallLimit = 3 * time.Second
	// firstLimit is the same for the first token, beyond the time that the
	// prompt itself takes at prefillFloor.
	firstLimit = 10 * time.Second
	// prefillFloor is the slowest prefill, in tokens a second, that counts
	// as progress.
	prefillFloor = 10_000
	// resumeTries bounds how often a broken stream is resumed on the same
	// engine.
	resumeTries = 2
)

// errCallerGone means that the caller no longer reads.
var errCallerGone = errors.New("the caller is gone")

// errStalled means that an engine stopped producing.
var errStalled = errors.New("no token came within the time allowed")

// send gives the request to the engine and passes its answer on. The outcome
// tells the owner what became of the grant.
func (di *Dispatcher) send(ctx context.Context, rq *Request, si Sink, he *holder.HeldGrant, gr *group) (ml.GrantOutcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	di.checkInService(time.Now(), he.Endpoint)
	if err := he.CheckUsable(time.Now()); err != nil {
		return ml.OutcomeUnsent, err
	}
	ge := ml.GenerateRequest{
		ID: he.ID, Model: rq.Model, Prompt: rq.Prompt, MaxTokens: rq.MaxTokens, Position: rq.Position,
		Generated: string(rq.text), Priority: int(rq.rank), Group: gr.list(), Sampling: rq.Sampling,
		Incarnation: meantFor(rq, he),
	}
	if mutator.Disabled(mutator.Positions) {
		ge.Position = 0
	}
	st, err := di.Engine.Generate(ctx, he.Endpoint, ge)
	if err != nil {
		rq.mayRun = rq.mayRun || !ml.AsError("generate", err).NotRun
		return outcomeOf(ctx), err
	}
	rq.mayRun = true
	he.Confirm(st.Incarnation())
	err = di.relay(cancel, rq, si, st, he)
	for try := 0; try < resumeTries && resumable(ctx, err); try++ {
		if st, err = di.Engine.Resume(ctx, he.Endpoint, he.ID, rq.Position); err != nil {
			break
		}
		err = di.relay(cancel, rq, si, st, he)
	}
	if err == nil {
		return ml.OutcomeCompleted, nil
	}
	return outcomeOf(ctx), err
}

// meantFor returns the life of the engine that a prompt is meant for, if the
// engine could not carry the prompt when cold: it refuses it once it has
// restarted. Smaller prompts go to any life: the owner lets so few of them be
// under way, unconfirmed, that a cold engine can carry them.
func meantFor(rq *Request, he *holder.HeldGrant) ml.Incarnation {
	const share = 2 // as many again may come while news of the first is under way
	if rq.EstimatedTokens <= he.Endpoint.ColdTokens/share {
		return ""
	}
	return he.Incarnation
}

// relay passes the tokens of a stream on. It checks that each is the next one
// of this answer.
func (di *Dispatcher) relay(cancel context.CancelCauseFunc, rq *Request, si Sink, st ml.Stream, he *holder.HeldGrant) error {
	defer st.Close()
	from := Source{he.Endpoint.ID, he.ID}
	patience := firstLimit + time.Duration(rq.EstimatedTokens)*time.Second/prefillFloor
	stall := time.AfterFunc(patience, func() {
		if !mutator.Disabled(mutator.Deadlines) {
			cancel(errStalled)
		}
	})
	defer stall.Stop()
	for {
		ch, err := st.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		stall.Reset(stallLimit)
		he.MarkStarted()
		if err := di.Auditor.Check(auditor.WholeAnswer, ch.Position == rq.Position+1,
			"request %s got position %d after %d", rq.ID, ch.Position, rq.Position); err != nil && !mutator.Disabled(mutator.Positions) {
			return &ml.Error{Type: ml.ErrEndpointFailed, Step: "read stream", Peer: string(from.Endpoint), Err: err}
		}
		if err := di.pass(rq, si, ch, from); err != nil {
			cancel(errCallerGone)
			return &ml.Error{Type: ml.ErrUnavailable, Step: "write to caller", Err: err}
		}
	}
}

func (di *Dispatcher) pass(rq *Request, si Sink, ch ml.Chunk, from Source) error {
	now := time.Now()
	if rq.FirstTokenAt.IsZero() {
		rq.FirstTokenAt = now
	}
	rq.LastTokenAt = now
	rq.Position = ch.Position
	rq.text = append(rq.text, ch.Text...)
	if ch.Finish != "" {
		rq.PromptTokens, rq.CachedTokens = ch.PromptTokens, ch.CachedTokens
	}
	if ch.Position <= rq.skip {
		return nil
	}
	return si.WriteToken(ch, from)
}

// reconnect goes on reading where an earlier connection of the caller was. It
// returns false when that stream is gone; the request then starts again, and
// the tokens that the caller already has are not passed on.
func (di *Dispatcher) reconnect(ctx context.Context, rq *Request, si Sink) bool {
	if rq.Resume.Grant == "" {
		return false
	}
	if di.readOn(ctx, rq, si) {
		return true
	}
	rq.skip, rq.Position, rq.text = rq.Position, 0, nil
	return false
}

func (di *Dispatcher) readOn(ctx context.Context, rq *Request, si Sink) bool {
	ep, found := di.Keeper.Endpoint(rq.Resume.Endpoint)
	if !found {
		return false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	st, err := di.Engine.Resume(ctx, ep, rq.Resume.Grant, rq.Position)
	if err != nil {
		di.Log.Info("stream to resume is gone", "request", rq.ID, "grant", rq.Resume.Grant, "error", err)
		return false
	}
	rq.mayRun = true
	he := di.Holder.Adopt(ep, rq.Resume.Grant, st.Incarnation())
	if err = di.relay(cancel, rq, si, st, he); err != nil {
		go di.runCancel(he)
		he.Release(outcomeOf(ctx))
		return false
	}
	he.Release(ml.OutcomeCompleted)
	return true
}

// resumable tells whether a broken stream may be read on at the same engine.
func resumable(ctx context.Context, err error) bool {
	return ml.TypeOf(err) == ml.ErrEndpointFailed && ctx.Err() == nil
}

// outcomeOf tells the owner why a stream ended early.
func outcomeOf(ctx context.Context) ml.GrantOutcome {
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errStalled) {
		return ml.OutcomeEndpointFailed
	}
	return ml.OutcomeCancelled
}
