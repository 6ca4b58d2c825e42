// Package claimer runs calls that may not be repeated at most once. A call is
// claimed in the platform's log by its idempotency key before its first byte
// leaves; the first claim in the log wins, and its outcome is kept there.
package claimer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/follower"
	"github.com/mulberrylever/mulberrylever/internal/duty/writer"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

const (
	// claimWait bounds the wait for a claim to be seen in the log.
	claimWait = 3 * time.Second
	// resultWait bounds how long an answer waits for its own record.
	resultWait = 500 * time.Millisecond
	// recordLife is how long a release or result is offered to the log.
	recordLife = 10 * time.Minute
	// sendWithin is the age at which a claim is too old to be used: its
	// holder was paused.
	sendWithin = 5 * time.Second
	// retryAfter is told to callers while the log can't be reached.
	retryAfter = 2 * time.Second
)

var (
	claimsMade  = metrics.NewCounter("mulberrylever_claims_total")
	claimsLost  = metrics.NewCounter("mulberrylever_claims_held_by_others_total")
	answersKept = metrics.NewCounter("mulberrylever_kept_answers_total")
)

// Call is one call that may not be repeated.
type Call struct {
	Key      string // from folder.ClaimKey
	Hash     uint64 // from folder.HashCall
	TTL      time.Duration
	Deadline time.Time
	// Run makes the call once. NotRun on its error tells that it is certain
	// that no byte has left. It must not send after mayRun returns an error.
	Run func(ctx context.Context, mayRun func(now time.Time) error) (ml.ServiceAnswer, error)
}

// Claimer claims and runs calls.
type Claimer struct {
	Self     ml.VMID
	Follower *follower.Follower
	Writer   *writer.Writer
	Auditor  *auditor.Auditor
	Log      *slog.Logger
}

// String names the step in logs.
func (cl *Claimer) String() string { return "claimer" }

// Do runs the call, or returns the kept answer of an earlier run with its key.
func (cl *Claimer) Do(ctx context.Context, ca Call) (ml.ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, ca.Deadline)
	defer cancel()
	for {
		held, changed := cl.Follower.Claim(ca.Key)
		if held != nil {
			an, again, err := cl.follow(ctx, ca, held, changed)
			if !again {
				return an, err
			}
			continue
		}
		an, again, err := cl.claimAndRun(ctx, ca)
		if !again {
			return an, err
		}
	}
}

// claimAndRun claims the key and, when the claim wins, runs the call. The
// second result tells that another claim came first.
func (cl *Claimer) claimAndRun(ctx context.Context, ca Call) (ml.ServiceAnswer, bool, error) {
	if !cl.Follower.Healthy(time.Now()) {
		return ml.ServiceAnswer{}, false, logDown(errors.New("the log was not read lately"))
	}
	attempt := ml.GrantID(uuid.NewString())
	made := time.Now()
	won, err := cl.claim(ctx, ca, attempt)
	if err != nil {
		return ml.ServiceAnswer{}, false, err
	}
	if !won {
		claimsLost.Inc()
		return ml.ServiceAnswer{}, true, nil
	}
	an, err := cl.run(ctx, ca, attempt, made)
	return an, false, err
}

// claim appends a claim and waits until the log shows who holds the key.
func (cl *Claimer) claim(ctx context.Context, ca Call, attempt ml.GrantID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	rec, err := folder.NewRecord("claim/"+string(attempt), folder.KindClaim, folder.Claim{
		Key: ca.Key, Attempt: attempt, VM: cl.Self, CallHash: ca.Hash, TTLMs: ca.TTL.Milliseconds(),
		AttemptTimeoutMs: time.Until(ca.Deadline).Milliseconds(),
	})
	if err != nil {
		return false, err
	}
	claimsMade.Inc()
	if !cl.Writer.Enqueue(ctx, rec) {
		return false, logDown(errors.New("too many records wait for the log"))
	}
	for {
		held, changed := cl.Follower.Claim(ca.Key)
		if held != nil {
			return held.Attempt == attempt, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			// The claim may still reach the log. Its release makes the key
			// free again, in whichever order the two arrive.
			cl.release(ca.Key, attempt)
			return false, logDown(fmt.Errorf("the claim was not seen in the log: %w", ctx.Err()))
		}
	}
}

// run makes the call and records its outcome.
func (cl *Claimer) run(ctx context.Context, ca Call, attempt ml.GrantID, made time.Time) (ml.ServiceAnswer, error) {
	sends := 0
	mayRun := func(now time.Time) error {
		if now.Sub(made) > sendWithin || now.After(ca.Deadline) {
			return &ml.Error{Type: ml.ErrDeadline, Step: "use claim", NotRun: true, Err: errors.New("the claim is too old to be used")}
		}
		sends++
		return cl.Auditor.Check(auditor.AtMostOnce, sends == 1, "attempt %s sends a second time", attempt)
	}
	an, err := ca.Run(ctx, mayRun)
	if err == nil {
		cl.finish(ca, attempt, folder.ClaimFinished, &an)
		return an, nil
	}
	er := *ml.AsError("call service", err)
	if er.NotRun {
		cl.release(ca.Key, attempt)
		return an, &er
	}
	cl.finish(ca, attempt, folder.ClaimUnknown, nil)
	er.Type = ml.ErrOutcomeUnknown
	return an, &er
}

// follow waits for the outcome of the claim that holds the key. The second
// result tells that the key is free again.
func (cl *Claimer) follow(ctx context.Context, ca Call, held *folder.Claim, changed <-chan struct{}) (ml.ServiceAnswer, bool, error) {
	if held.CallHash != ca.Hash {
		return ml.ServiceAnswer{}, false, &ml.Error{
			Type: ml.ErrKeyReused, Step: "check key", NotRun: true, Err: errors.New("the key was used before with another call"),
		}
	}
	switch held.Outcome {
	case folder.ClaimFinished:
		return cl.kept(ctx, held)
	case folder.ClaimUnknown:
		return ml.ServiceAnswer{}, false, unknown("an earlier call with this key may or may not have run")
	case folder.ClaimOpen:
	}
	over := time.NewTimer(time.Until(held.At.Add(time.Duration(held.AttemptTimeoutMs)*time.Millisecond + recordGrace)))
	defer over.Stop()
	select {
	case <-changed:
		return ml.ServiceAnswer{}, true, nil
	case <-over.C:
		return ml.ServiceAnswer{}, false, unknown("an earlier call with this key left no outcome")
	case <-ctx.Done():
		return ml.ServiceAnswer{}, false, unknown("an earlier call with this key is still under way")
	}
}

// recordGrace is the time allowed, after an attempt's end, for its outcome to
// reach the log.
const recordGrace = 3 * time.Second

func (cl *Claimer) kept(ctx context.Context, held *folder.Claim) (ml.ServiceAnswer, bool, error) {
	rs, err := cl.Follower.Result(ctx, held.ResultOffset)
	if err != nil || rs.Answer == nil {
		return ml.ServiceAnswer{}, false, &ml.Error{
			Type: ml.ErrLogUnavailable, Step: "read kept answer", Peer: "log", RetryAfter: retryAfter,
			Err: errors.Join(errors.New("the call has run, but its kept answer can't be read now"), err),
		}
	}
	answersKept.Inc()
	return *rs.Answer, false, nil
}

// finish records the outcome of a run. The answer waits a little for its
// record, so that a repeat through another entry VM finds it.
func (cl *Claimer) finish(ca Call, attempt ml.GrantID, ou folder.ClaimOutcome, an *ml.ServiceAnswer) {
	cl.put("result/"+string(attempt), folder.KindResult, folder.Result{Key: ca.Key, Attempt: attempt, Outcome: ou, Answer: an})
	limit := time.NewTimer(resultWait)
	defer limit.Stop()
	for {
		held, changed := cl.Follower.Claim(ca.Key)
		if held == nil || held.Outcome != folder.ClaimOpen {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		}
	}
}

// release gives the key back: the attempt has not run and never will.
func (cl *Claimer) release(key string, attempt ml.GrantID) {
	cl.put("release/"+string(attempt), folder.KindRelease, folder.Release{Key: key, Attempt: attempt})
}

func (cl *Claimer) put(id, kind string, body any) {
	rec, err := folder.NewRecord(id, kind, body)
	if err != nil {
		cl.Log.Error("encode record", "id", id, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordLife)
	context.AfterFunc(ctx, cancel)
	if !cl.Writer.Enqueue(ctx, rec) {
		cl.Log.Error("too many records wait for the log", "id", id)
	}
}

func logDown(err error) *ml.Error {
	return &ml.Error{Type: ml.ErrLogUnavailable, Step: "claim key", Peer: "log", NotRun: true, RetryAfter: retryAfter, Err: err}
}

func unknown(what string) *ml.Error {
	return &ml.Error{Type: ml.ErrOutcomeUnknown, Step: "follow claim", Peer: "log", Err: errors.New(what)}
}
