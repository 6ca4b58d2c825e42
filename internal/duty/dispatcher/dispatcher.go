// Package dispatcher runs an admitted request on an endpoint. It chooses the
// endpoint, reserves capacity there, sends the request, streams the answer and
// releases the capacity. After a failure it resumes the stream on the same
// engine, or retries on another endpoint.
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

// RoutingTable gives access to the routing table.
type RoutingTable interface {
	// WithTable calls use while it holds the table's lock.
	WithTable(use func(ta *router.Table))
}

// Sink receives the answer of one request.
type Sink interface {
	// WriteToken takes the next token and its source. An error means that the
	// caller has disconnected.
	WriteToken(ch ml.Chunk, from Source) error
}

// Source identifies the stream that a token came from, so that a caller can
// resume it.
type Source struct {
	Endpoint ml.EndpointID
	Grant    ml.GrantID
}

// Request is an admitted prompt or service call.
type Request struct {
	ID        ml.RequestID
	Team      ml.TeamID
	Model     ml.ModelID
	Prompt    string
	MaxTokens ml.Tokens
	Sampling  ml.Sampling
	Deadline  time.Time
	Resume    Source    // stream of the caller's earlier connection
	Position  ml.Tokens // tokens received so far, including those of an earlier connection
	Claim     string    // claimed key of a call that may not be repeated

	// Set while the request is processed.
	Length          ml.Length
	EstimatedTokens ml.Tokens // of the prompt
	Arrived         time.Time
	FirstTokenAt    time.Time
	LastTokenAt     time.Time
	Attempts        int
	CachedTokens    ml.Tokens // of the prompt, found in the engine's prefix cache
	PromptTokens    ml.Tokens // as counted by the engine

	mayHaveRun       bool // an endpoint may have run it
	atMostOnce       bool
	ownerChanges     int       // attempts that failed because the endpoint has a new owner
	generated        []byte    // text received so far
	callerPosition   ml.Tokens // tokens that the caller has from an earlier connection
	prefixHash       uint64    // zero for a prompt shorter than a prefix block
	schedulingLength ml.Length // Length, or zero if routing ignores lengths
}

// Dispatcher runs requests on endpoints.
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

// String returns the component's name for logs.
func (di *Dispatcher) String() string { return "dispatcher" }

// Generate runs a prompt. It returns nil after the whole answer was written to
// the sink. NotRun on its error means that certainly nothing has run.
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
	return di.withRetries(ctx, rq, func(ctx context.Context, avoid []ml.EndpointID) (ml.EndpointID, error) {
		return di.tryGenerate(ctx, rq, si, avoid)
	})
}

// prepare sets the fields of a request that routing needs.
func (di *Dispatcher) prepare(rq *Request) {
	co := di.Keeper.View().Config
	rq.EstimatedTokens = ml.EstimateTokens(rq.Prompt)
	rq.Length = co.LengthOf(rq.EstimatedTokens)
	if co.Routing.ByLength {
		rq.schedulingLength = rq.Length
	}
	const prefixBytes = int(router.PrefixBlockTokens) * ml.BytesPerToken
	if len(rq.Prompt) >= prefixBytes {
		rq.prefixHash = xxhash.Sum64String(rq.Prompt[:prefixBytes])
	}
	di.Budget.RecordRequest(co.Retries.BudgetPerCent)
}

// withRetries calls try until it succeeds, within the retry budget and the
// deadline. try returns the endpoint that failed, which is avoided afterwards.
func (di *Dispatcher) withRetries(ctx context.Context, rq *Request, try func(context.Context, []ml.EndpointID) (ml.EndpointID, error)) error {
	avoid := []ml.EndpointID{}
	for {
		rq.Attempts++
		failed, err := try(ctx, avoid)
		if err == nil {
			return nil
		}
		er := ml.AsError("serve request", err)
		delay, retry := di.nextRetry(ctx, rq, er)
		if !retry {
			return di.callerError(ctx, rq, er)
		}
		di.Log.Info("retrying request", "request", rq.ID, "team", rq.Team, "step", er.Step, "peer", er.Peer, "position", rq.Position, "error", er.Err)
		if failed != "" {
			avoid = append(avoid, failed)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

const (
	// maxOwnerChangeRetries bounds how often a request is retried because its
	// endpoint has a new owner.
	maxOwnerChangeRetries = 10
	// ownerChangeRetryDelay is the wait before such a retry. A new owner is
	// known and may grant after half of maxOwnerChangeRetries.
	ownerChangeRetryDelay = 250 * time.Millisecond
)

// nextRetry reports whether a failed request is retried, and after what delay.
// A change of owner does not count as a retry, since nothing was sent to an
// endpoint.
func (di *Dispatcher) nextRetry(ctx context.Context, rq *Request, er *ml.Error) (time.Duration, bool) {
	if ctx.Err() != nil || (rq.atMostOnce && rq.mayHaveRun) {
		return 0, false
	}
	if er.Type == ml.ErrEndpointNotFound && rq.ownerChanges < maxOwnerChangeRetries {
		rq.ownerChanges++
		return ownerChangeRetryDelay, true
	}
	re := di.Keeper.View().Config.Retries
	tries := rq.Attempts - rq.ownerChanges
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

// callerError returns the error that the caller gets.
func (di *Dispatcher) callerError(ctx context.Context, rq *Request, er *ml.Error) error {
	out := *er
	out.NotRun = !rq.mayHaveRun || mutator.Disabled(mutator.NotRun)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		out.Type = ml.ErrDeadline
		out.RetryAfter = 0
	}
	if out.Type == ml.ErrUnavailable || out.Type == ml.ErrEndpointNotFound {
		out.Type = ml.ErrUnavailable
		out.RetryAfter = max(out.RetryAfter, time.Duration(di.Keeper.View().Config.Retries.RetryAfterMs)*time.Millisecond)
	}
	_ = di.Auditor.Check(auditor.NotRunTrue, !out.NotRun || rq.Position == 0 || rq.Resume.Grant != "",
		"request %s is reported as not run, but %d tokens were received", rq.ID, rq.Position)
	return &out
}

// tryGenerate makes one attempt. It also returns the endpoint that was tried.
func (di *Dispatcher) tryGenerate(ctx context.Context, rq *Request, si Sink, avoid []ml.EndpointID) (ml.EndpointID, error) {
	he, group, err := di.place(ctx, rq, avoid)
	if err != nil {
		return "", err
	}
	defer group.release(di)
	defer di.recordEnded(he.Endpoint.ID)
	ou, err := di.send(ctx, rq, si, he, group)
	if ou != ml.OutcomeCompleted && ou != ml.OutcomeUnsent {
		go di.cancelGeneration(he)
	}
	if ou == ml.OutcomeCompleted {
		di.Routes.WithTable(func(ta *router.Table) { ta.RecordCacheUse(rq.prefixHash, rq.CachedTokens) })
	}
	he.Release(ou)
	return he.Endpoint.ID, err
}

// cancelGeneration frees the memory that a grant holds at its engine. The caller
// may have disconnected and the engine may be stalled, so it has its own timeout
// and callers start it in a goroutine. The owner counts the grant until the
// engine no longer lists it.
func (di *Dispatcher) cancelGeneration(he *holder.HeldGrant) {
	const cancelTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := di.Engine.Cancel(ctx, he.Endpoint, he.ID); err != nil {
		di.Log.Debug("failed to cancel a generation", "endpoint", he.Endpoint.ID, "grant", he.ID, "error", err)
	}
}

// recordEnded tells the routing table that a request has ended.
func (di *Dispatcher) recordEnded(id ml.EndpointID) {
	di.Routes.WithTable(func(ta *router.Table) { ta.RecordEnd(id) })
}

// checkInService asserts that the endpoint's failure domain is in service. The
// owner has checked this before. An operator's change may reach this VM after
// the grant, so only changes older than a few seconds count.
func (di *Dispatcher) checkInService(now time.Time, ep ml.Endpoint) {
	const propagationTime = 3 * time.Second
	for _, ou := range di.Keeper.View().Fleet.DomainsOut {
		_ = di.Auditor.Check(auditor.DomainOut, ou.Name != string(ep.Domain) || now.Sub(ou.At) < propagationTime,
			"endpoint %s gets work, but domain %s is out of service since %v", ep.ID, ep.Domain, ou.At)
	}
	_ = di.Auditor.Check(auditor.DomainOut, true, "")
}

// grantID returns the id of a grant. index distinguishes the grants that one
// attempt asks for.
func grantID(rq *Request, index int) ml.GrantID {
	return ml.GrantID(fmt.Sprintf("%s.%d.%d", rq.ID, rq.Attempts, index))
}
