// Package dispatcher carries a request from its admission to its last token:
// route, reserve, send, stream, release; and on trouble resumes it on the same
// engine or goes on elsewhere.
package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/budgeter"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/duty/holder"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

// RoutingTable holds the routing table.
type RoutingTable interface {
	WithTable(use func(ta *router.Table))
}

// Sink takes the answer of one request.
type Sink interface {
	// WriteToken takes the next token and the place that it came from. An error
	// means that the caller is gone.
	WriteToken(ch ml.Chunk, from Source) error
}

// Source tells where a token came from, so that a caller can resume.
type Source struct {
	Endpoint ml.EndpointID
	Grant    ml.GrantID
}

// Request is one admitted prompt.
type Request struct {
	ID        ml.RequestID
	Team      ml.TeamID
	Model     ml.ModelID
	Prompt    string
	MaxTokens ml.Tokens
	Sampling  ml.Sampling
	Deadline  time.Time
	Resume    Source    // where an earlier connection was reading
	Position  ml.Tokens // tokens the caller already has
	Claim     string    // of a call that may not be repeated

	// Worked out on the way.
	Length          ml.Length
	EstimatedTokens ml.Tokens
	Arrived         time.Time
	FirstTokenAt    time.Time // first token passed on
	LastTokenAt     time.Time // newest token passed on
	Attempts        int
	CachedTokens    ml.Tokens
	PromptTokens    ml.Tokens // the engine's count of the prompt
	mayRun          bool      // something may have run
	once            bool      // it may not be repeated
	moves           int       // tries that a change of owner has ended
	text            []byte    // passed on so far
	skip            ml.Tokens // tokens that the caller has from an earlier connection
	prefix          uint64
	rank            ml.Length // order among prompts: its length, unless lengths don't count
}

// Dispatcher carries requests.
type Dispatcher struct {
	Self    ml.VMID
	Engine  ml.Engine
	Service ml.Service
	Holder  *holder.Holder
	Routes  RoutingTable
	Keeper  *keeper.Keeper
	Auditor *auditor.Auditor
	Budget  budgeter.Budgeter
	Log     *slog.Logger
}

// String names the step in logs.
func (di *Dispatcher) String() string { return "dispatcher" }

// Generate carries a prompt. It returns once the whole answer was passed to
// the sink, or with an error that tells whether anything may have run.
func (di *Dispatcher) Generate(ctx context.Context, rq *Request, si Sink) error {
	if !mutator.Disabled(mutator.Deadlines) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, rq.Deadline)
		defer cancel()
	}
	di.prepare(rq)
	if di.reconnect(ctx, rq, si) {
		return nil
	}
	return di.attempt(ctx, rq, func(ctx context.Context, avoid []ml.EndpointID) (ml.EndpointID, error) {
		return di.generateOnce(ctx, rq, si, avoid)
	})
}

// prepare works out what routing needs to know.
func (di *Dispatcher) prepare(rq *Request) {
	co := di.Keeper.View().Config
	rq.EstimatedTokens = ml.EstimateTokens(rq.Prompt)
	rq.Length = co.LengthOf(rq.EstimatedTokens)
	if co.Routing.ByLength {
		rq.rank = rq.Length
	}
	const prefixBytes = int(router.PrefixBlockTokens) * ml.BytesPerToken
	if len(rq.Prompt) >= prefixBytes {
		rq.prefix = xxhash.Sum64String(rq.Prompt[:prefixBytes])
	}
	di.Budget.RecordRequest(co.Retries.BudgetPerCent)
}

// attempt calls once until it succeeds, within the retry budget and the
// deadline.
func (di *Dispatcher) attempt(ctx context.Context, rq *Request, once func(context.Context, []ml.EndpointID) (ml.EndpointID, error)) error {
	avoid := []ml.EndpointID{}
	for {
		rq.Attempts++
		failed, err := once(ctx, avoid)
		if err == nil {
			return nil
		}
		er := ml.AsError("serve request", err)
		wait, again := di.nextTry(ctx, rq, er)
		if !again {
			return di.final(ctx, rq, er)
		}
		di.Log.Info("retry", "request", rq.ID, "team", rq.Team, "step", er.Step, "peer", er.Peer, "position", rq.Position, "error", er.Err)
		if failed != "" {
			avoid = append(avoid, failed)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

const (
	// maxMoves bounds how often a request follows its endpoint to a new owner.
	maxMoves = 10
	// moveWait is the time between two such tries. A new owner is known and
	// may grant within half of maxMoves.
	moveWait = 250 * time.Millisecond
)

// nextTry tells whether a request that failed is tried again, and after what
// wait. A change of owner uses no retry: nothing was sent to an endpoint.
func (di *Dispatcher) nextTry(ctx context.Context, rq *Request, er *ml.Error) (time.Duration, bool) {
	if ctx.Err() != nil || (rq.once && rq.mayRun) {
		return 0, false
	}
	if er.Type == ml.ErrEndpointNotFound && rq.moves < maxMoves {
		rq.moves++
		return moveWait, true
	}
	re := di.Keeper.View().Config.Retries
	tries := rq.Attempts - rq.moves
	if tries >= re.MaxAttempts {
		return 0, false
	}
	switch er.Type {
	case ml.ErrEndpointFailed, ml.ErrUnavailable, ml.ErrEndpointNotFound:
		return budgeter.Delay(time.Duration(re.BaseDelayMs)*time.Millisecond, tries), di.Budget.AllowRetry()
	default:
		return 0, false
	}
}

// final returns the error that the caller gets.
func (di *Dispatcher) final(ctx context.Context, rq *Request, er *ml.Error) error {
	out := *er
	out.NotRun = !rq.mayRun || mutator.Disabled(mutator.NotRun)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		out.Type = ml.ErrDeadline
		out.RetryAfter = 0
	}
	if out.Type == ml.ErrUnavailable || out.Type == ml.ErrEndpointNotFound {
		out.Type = ml.ErrUnavailable
		out.RetryAfter = max(out.RetryAfter, time.Duration(di.Keeper.View().Config.Retries.RetryAfterMs)*time.Millisecond)
	}
	_ = di.Auditor.Check(auditor.NotRunTrue, !out.NotRun || rq.Position == 0 || rq.Resume.Grant != "",
		"request %s: not run, with %d tokens passed on", rq.ID, rq.Position)
	return &out
}

// generateOnce makes one attempt. It returns the endpoint that failed.
func (di *Dispatcher) generateOnce(ctx context.Context, rq *Request, si Sink, avoid []ml.EndpointID) (ml.EndpointID, error) {
	he, group, err := di.place(ctx, rq, avoid)
	if err != nil {
		return "", err
	}
	defer group.dissolve(di)
	defer di.ended(he.Endpoint.ID)
	ou, err := di.send(ctx, rq, si, he, group)
	if ou != ml.OutcomeCompleted && ou != ml.OutcomeUnsent {
		go di.runCancel(he)
	}
	if ou == ml.OutcomeCompleted {
		di.Routes.WithTable(func(ta *router.Table) { ta.RecordCacheUse(rq.prefix, rq.CachedTokens) })
	}
	he.Release(ou)
	return he.Endpoint.ID, err
}

// runCancel frees what the engine has of a grant. The caller may be gone and
// the engine frozen, so the call has a time of its own and nobody waits for
// it; the owner counts the grant until the engine no longer lists it.
func (di *Dispatcher) runCancel(he *holder.HeldGrant) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := di.Engine.Cancel(ctx, he.Endpoint, he.ID); err != nil {
		di.Log.Debug("cancel", "endpoint", he.Endpoint.ID, "grant", he.ID, "error", err)
	}
}

func (di *Dispatcher) ended(id ml.EndpointID) {
	di.Routes.WithTable(func(ta *router.Table) { ta.RecordEnd(id) })
}

// checkInService asserts that work goes to endpoints in service only. The
// owner has checked it before; news of an operator's change may cross the
// grant, so only a change older than a few seconds counts.
func (di *Dispatcher) checkInService(now time.Time, ep ml.Endpoint) {
	const grace = 3 * time.Second
	for _, ou := range di.Keeper.View().Fleet.DomainsOut {
		_ = di.Auditor.Check(auditor.DomainOut, ou.Name != string(ep.Domain) || now.Sub(ou.At) < grace,
			"endpoint %s gets work, domain %s is out since %v", ep.ID, ep.Domain, ou.At)
	}
	_ = di.Auditor.Check(auditor.DomainOut, true, "")
}

func grantID(rq *Request, part int) ml.GrantID {
	return ml.GrantID(fmt.Sprintf("%s.%d.%d", rq.ID, rq.Attempts, part))
}
