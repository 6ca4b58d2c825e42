// Package claimer runs a call with an idempotency key at most once. It claims
// the key in the platform's log before the call is sent. The first claim in the
// log wins, and the outcome of the call is stored in the log as well.
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
	// maxClaimWait bounds the wait until a claim appears in the log.
	maxClaimWait = 3 * time.Second
	// maxResultWait bounds how long an answer is held back until its result
	// appears in the log.
	maxResultWait = 500 * time.Millisecond
	// recordTimeout bounds the attempts to append a release or a result.
	recordTimeout = 10 * time.Minute
	// maxClaimAge is the age beyond which a claim is not used. A claim gets so
	// old when this process is paused.
	maxClaimAge = 5 * time.Second
	// retryAfter is sent to callers while the log can't be reached.
	retryAfter = 2 * time.Second
)

var (
	claimsMade            = metrics.NewCounter("mulberrylever_claims_total")
	claimsHeldByOthers    = metrics.NewCounter("mulberrylever_claims_held_by_others_total")
	storedAnswersReturned = metrics.NewCounter("mulberrylever_kept_answers_total")
)

// Call is one call that may not be repeated.
type Call struct {
	Key      string        // from folder.ClaimKey
	Hash     uint64        // from folder.HashCall
	TTL      time.Duration // until the key may be claimed again
	Deadline time.Time
	// Run makes the call once. It must call checkClaim before it sends, and
	// must not send if checkClaim returns an error. NotRun on the returned
	// error means that certainly no byte was sent.
	Run func(ctx context.Context, checkClaim func(now time.Time) error) (ml.ServiceAnswer, error)
}

// Claimer claims keys and runs calls.
type Claimer struct {
	Self     ml.VMID
	Follower *follower.Follower
	Writer   *writer.Writer
	Auditor  *auditor.Auditor
	Log      *slog.Logger
}

// String returns the component's name for logs.
func (cl *Claimer) String() string { return "claimer" }

// Do runs the call, or returns the stored answer of an earlier call with the
// same key.
func (cl *Claimer) Do(ctx context.Context, ca Call) (ml.ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, ca.Deadline)
	defer cancel()
	for {
		claim, changed := cl.Follower.Claim(ca.Key)
		if claim != nil {
			an, again, err := cl.awaitOutcome(ctx, ca, claim, changed)
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

// claimAndRun claims the key and, if the claim wins, runs the call. The second
// result is true if another claim came first.
func (cl *Claimer) claimAndRun(ctx context.Context, ca Call) (ml.ServiceAnswer, bool, error) {
	if !cl.Follower.Healthy(time.Now()) {
		return ml.ServiceAnswer{}, false, logUnavailable(errors.New("the log was not read lately"))
	}
	attempt := ml.GrantID(uuid.NewString())
	claimedAt := time.Now()
	won, err := cl.claim(ctx, ca, attempt)
	if err != nil {
		return ml.ServiceAnswer{}, false, err
	}
	if !won {
		claimsHeldByOthers.Inc()
		return ml.ServiceAnswer{}, true, nil
	}
	an, err := cl.run(ctx, ca, attempt, claimedAt)
	return an, false, err
}

// claim appends a claim and waits until the log shows which attempt holds the
// key. It reports whether this attempt does.
func (cl *Claimer) claim(ctx context.Context, ca Call, attempt ml.GrantID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait)
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
		return false, logUnavailable(errors.New("too many records wait for the log"))
	}
	for {
		claim, changed := cl.Follower.Claim(ca.Key)
		if claim != nil {
			return claim.Attempt == attempt, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			// The claim may still reach the log. The release frees the key, in
			// whichever order the two records arrive.
			cl.release(ca.Key, attempt)
			return false, logUnavailable(fmt.Errorf("the claim was not seen in the log: %w", ctx.Err()))
		}
	}
}

// run makes the call and appends its outcome to the log.
func (cl *Claimer) run(ctx context.Context, ca Call, attempt ml.GrantID, claimedAt time.Time) (ml.ServiceAnswer, error) {
	sends := 0
	checkClaim := func(now time.Time) error {
		if now.Sub(claimedAt) > maxClaimAge || now.After(ca.Deadline) {
			return &ml.Error{Type: ml.ErrDeadline, Step: "use claim", NotRun: true, Err: errors.New("the claim is too old to be used")}
		}
		sends++
		return cl.Auditor.Check(auditor.AtMostOnce, sends == 1, "attempt %s sends a second time", attempt)
	}
	an, err := ca.Run(ctx, checkClaim)
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

// awaitOutcome waits for the outcome of the claim that holds the key. The
// second result is true if the claim has changed and must be read again.
func (cl *Claimer) awaitOutcome(ctx context.Context, ca Call, claim *folder.Claim, changed <-chan struct{}) (ml.ServiceAnswer, bool, error) {
	if claim.CallHash != ca.Hash {
		return ml.ServiceAnswer{}, false, &ml.Error{
			Type: ml.ErrKeyReused, Step: "check key", NotRun: true, Err: errors.New("the key was used before with another call"),
		}
	}
	switch claim.Outcome {
	case folder.ClaimFinished:
		return cl.storedAnswer(ctx, claim)
	case folder.ClaimUnknown:
		return ml.ServiceAnswer{}, false, outcomeUnknown("an earlier call with this key may or may not have run")
	case folder.ClaimOpen:
	}
	attemptEnd := time.NewTimer(time.Until(claim.At.Add(time.Duration(claim.AttemptTimeoutMs)*time.Millisecond + outcomeGracePeriod)))
	defer attemptEnd.Stop()
	select {
	case <-changed:
		return ml.ServiceAnswer{}, true, nil
	case <-attemptEnd.C:
		return ml.ServiceAnswer{}, false, outcomeUnknown("an earlier call with this key left no outcome")
	case <-ctx.Done():
		return ml.ServiceAnswer{}, false, outcomeUnknown("an earlier call with this key is still under way")
	}
}

// outcomeGracePeriod is the time allowed, after an attempt's end, for its
// outcome to reach the log.
const outcomeGracePeriod = 3 * time.Second

// storedAnswer reads the answer of a finished call from the log.
func (cl *Claimer) storedAnswer(ctx context.Context, claim *folder.Claim) (ml.ServiceAnswer, bool, error) {
	rs, err := cl.Follower.Result(ctx, claim.ResultOffset)
	if err != nil || rs.Answer == nil {
		return ml.ServiceAnswer{}, false, &ml.Error{
			Type: ml.ErrLogUnavailable, Step: "read kept answer", Peer: "log", RetryAfter: retryAfter,
			Err: errors.Join(errors.New("the call has run, but its kept answer can't be read now"), err),
		}
	}
	storedAnswersReturned.Inc()
	return *rs.Answer, false, nil
}

// finish appends the outcome of a run to the log and waits briefly until it
// appears there, so that a repeat of the call through another entry VM finds it.
func (cl *Claimer) finish(ca Call, attempt ml.GrantID, ou folder.ClaimOutcome, an *ml.ServiceAnswer) {
	cl.enqueue("result/"+string(attempt), folder.KindResult, folder.Result{Key: ca.Key, Attempt: attempt, Outcome: ou, Answer: an})
	timeout := time.NewTimer(maxResultWait)
	defer timeout.Stop()
	for {
		claim, changed := cl.Follower.Claim(ca.Key)
		if claim == nil || claim.Outcome != folder.ClaimOpen {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		}
	}
}

// release frees the key: the attempt has not run and will not run.
func (cl *Claimer) release(key string, attempt ml.GrantID) {
	cl.enqueue("release/"+string(attempt), folder.KindRelease, folder.Release{Key: key, Attempt: attempt})
}

func (cl *Claimer) enqueue(id, kind string, body any) {
	rec, err := folder.NewRecord(id, kind, body)
	if err != nil {
		cl.Log.Error("failed to encode a record for the log", "id", id, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	context.AfterFunc(ctx, cancel)
	if !cl.Writer.Enqueue(ctx, rec) {
		cl.Log.Error("dropped a record: the queue of the log writer is full", "id", id)
	}
}

func logUnavailable(err error) *ml.Error {
	return &ml.Error{Type: ml.ErrLogUnavailable, Step: "claim key", Peer: "log", NotRun: true, RetryAfter: retryAfter, Err: err}
}

func outcomeUnknown(what string) *ml.Error {
	return &ml.Error{Type: ml.ErrOutcomeUnknown, Step: "follow claim", Peer: "log", Err: errors.New(what)}
}
