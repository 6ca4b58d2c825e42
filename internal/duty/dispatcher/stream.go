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
	// maxTokenGap is the time without a token after which an engine counts as
	// stalled.
	maxTokenGap = 3 * time.Second
	// firstTokenBaseTimeout is the same for the first token. The time for the
	// prompt at minPrefillTokensPerSecond is added to it.
	firstTokenBaseTimeout     = 10 * time.Second
	minPrefillTokensPerSecond = 10_000
	// maxResumes bounds how often a broken stream is resumed on the same
	// engine.
	maxResumes = 2
)

// errCallerDisconnected cancels a stream whose caller has disconnected.
var errCallerDisconnected = errors.New("the caller is gone")

// errStalled cancels a stream whose engine sends no more tokens.
var errStalled = errors.New("no token came within the time allowed")

// send sends the request to the engine and relays its answer to the sink. It
// returns the outcome of the grant, for the owner.
func (di *Dispatcher) send(ctx context.Context, rq *Request, si Sink, he *holder.HeldGrant, gr *group) (ml.GrantOutcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	di.checkInService(time.Now(), he.Endpoint)
	if err := he.CheckUsable(time.Now()); err != nil {
		return ml.OutcomeUnsent, err
	}
	ge := ml.GenerateRequest{
		ID: he.ID, Model: rq.Model, Prompt: rq.Prompt, MaxTokens: rq.MaxTokens, Position: rq.Position,
		Generated: string(rq.generated), Priority: int(rq.schedulingLength), Group: gr.memberList(), Sampling: rq.Sampling,
		Incarnation: requiredIncarnation(rq, he),
	}
	if mutator.Disabled(mutator.Positions) {
		ge.Position = 0
	}
	st, err := di.Engine.Generate(ctx, he.Endpoint, ge)
	if err != nil {
		rq.mayHaveRun = rq.mayHaveRun || !ml.AsError("generate", err).NotRun
		return failureOutcome(ctx), err
	}
	rq.mayHaveRun = true
	he.Confirm(st.Incarnation())
	err = di.relay(cancel, rq, si, st, he)
	for try := 0; try < maxResumes && resumable(ctx, err); try++ {
		if st, err = di.Engine.Resume(ctx, he.Endpoint, he.ID, rq.Position); err != nil {
			break
		}
		err = di.relay(cancel, rq, si, st, he)
	}
	if err == nil {
		return ml.OutcomeCompleted, nil
	}
	return failureOutcome(ctx), err
}

// requiredIncarnation returns the engine incarnation that a prompt is limited
// to, or "" for any. A prompt too large for a cold engine is limited to the
// incarnation at the grant, so that the engine refuses it after a restart. For
// smaller prompts, the owner limits the unconfirmed ones so that a cold engine
// can process them.
func requiredIncarnation(rq *Request, he *holder.HeldGrant) ml.Incarnation {
	// As many prompts again may arrive while the confirmations of the first
	// ones are in transit.
	const coldTokensDivisor = 2
	if rq.EstimatedTokens <= he.Endpoint.ColdTokens/coldTokensDivisor {
		return ""
	}
	return he.Incarnation
}

// relay writes the tokens of a stream to the sink. It checks that each is the
// next one of this answer.
func (di *Dispatcher) relay(cancel context.CancelCauseFunc, rq *Request, si Sink, st ml.Stream, he *holder.HeldGrant) error {
	defer st.Close()
	from := Source{he.Endpoint.ID, he.ID}
	firstTokenTimeout := firstTokenBaseTimeout + time.Duration(rq.EstimatedTokens)*time.Second/minPrefillTokensPerSecond
	stallTimer := time.AfterFunc(firstTokenTimeout, func() {
		if !mutator.Disabled(mutator.Deadlines) {
			cancel(errStalled)
		}
	})
	defer stallTimer.Stop()
	for {
		ch, err := st.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		stallTimer.Reset(maxTokenGap)
		he.MarkStarted()
		if err := di.Auditor.Check(auditor.WholeAnswer, ch.Position == rq.Position+1,
			"request %s got position %d after %d", rq.ID, ch.Position, rq.Position); err != nil && !mutator.Disabled(mutator.Positions) {
			return &ml.Error{Type: ml.ErrEndpointFailed, Step: "read stream", Peer: string(from.Endpoint), Err: err}
		}
		if err := di.writeToken(rq, si, ch, from); err != nil {
			cancel(errCallerDisconnected)
			return &ml.Error{Type: ml.ErrUnavailable, Step: "write to caller", Err: err}
		}
	}
}

// writeToken records a token in the request and writes it to the sink, unless
// the caller already has it.
func (di *Dispatcher) writeToken(rq *Request, si Sink, ch ml.Chunk, from Source) error {
	now := time.Now()
	if rq.FirstTokenAt.IsZero() {
		rq.FirstTokenAt = now
	}
	rq.LastTokenAt = now
	rq.Position = ch.Position
	rq.generated = append(rq.generated, ch.Text...)
	if ch.Finish != "" {
		rq.PromptTokens, rq.CachedTokens = ch.PromptTokens, ch.CachedTokens
	}
	if ch.Position <= rq.callerPosition {
		return nil
	}
	return si.WriteToken(ch, from)
}

// reconnect resumes the stream of the caller's earlier connection. It returns
// false if that stream no longer exists. The answer is then generated again,
// and the tokens that the caller already has are not written.
func (di *Dispatcher) reconnect(ctx context.Context, rq *Request, si Sink) bool {
	if rq.Resume.Grant == "" {
		return false
	}
	if di.resumeStream(ctx, rq, si) {
		return true
	}
	rq.callerPosition, rq.Position, rq.generated = rq.Position, 0, nil
	return false
}

// resumeStream relays the rest of the stream that the request resumes. It
// reports whether the answer is complete.
func (di *Dispatcher) resumeStream(ctx context.Context, rq *Request, si Sink) bool {
	ep, found := di.Keeper.Endpoint(rq.Resume.Endpoint)
	if !found {
		return false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	st, err := di.Engine.Resume(ctx, ep, rq.Resume.Grant, rq.Position)
	if err != nil {
		di.Log.Info("failed to resume the stream of an earlier connection", "request", rq.ID, "grant", rq.Resume.Grant, "error", err)
		return false
	}
	rq.mayHaveRun = true
	he := di.Holder.Adopt(ep, rq.Resume.Grant, st.Incarnation())
	if err = di.relay(cancel, rq, si, st, he); err != nil {
		go di.cancelGeneration(he)
		he.Release(failureOutcome(ctx))
		return false
	}
	he.Release(ml.OutcomeCompleted)
	return true
}

// resumable reports whether a broken stream can be resumed on the same engine.
func resumable(ctx context.Context, err error) bool {
	return ml.TypeOf(err) == ml.ErrEndpointFailed && ctx.Err() == nil
}

// failureOutcome returns the grant outcome of a stream that ended early.
func failureOutcome(ctx context.Context) ml.GrantOutcome {
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errStalled) {
		return ml.OutcomeEndpointFailed
	}
	return ml.OutcomeCancelled
}
