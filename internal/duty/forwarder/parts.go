package forwarder

import (
	"context"
	"errors"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/attributor"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// minBegunEvents is the number of events from which an answer counts as begun: an
	// engine may still send the first one while it crashes.
	minBegunEvents = 2
	// crashCheckTimeout bounds the check whether an engine's process has ended.
	crashCheckTimeout = 100 * time.Millisecond
)

// checkParts returns an error if a part of the prompt is blocked. It waits while that is
// being decided.
func (fo *Forwarder) checkParts(ctx context.Context, rq *Request) error {
	ve := fo.checkOnce(time.Now(), rq)
	for ve.Wait > 0 && ctx.Err() == nil {
		pacer.Sleep(ctx, ve.Wait)
		ve = fo.checkOnce(time.Now(), rq)
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if ve.Trial {
		fo.startTrial(rq, ve.Tried)
	}
	if ve.Blocked == "" {
		return nil
	}
	reason := "engines crash on a part of the prompt"
	if ve.Blocked.IsWhole() {
		reason = "engines crash on this request"
	}
	return &unplaceableError{reason: reason, retryAfter: ve.RetryAfter, part: ve.Blocked}
}

// startTrial lets a request be sent although parts of it are blocked, and tells the other
// entry VMs and the store, so that they don't send another.
func (fo *Forwarder) startTrial(rq *Request, tried []ml.SharedBlock) {
	rq.isTrial = true
	fo.Log.Info("trial", "request", rq.Outgoing.Attempt, "blocked", tried)
	fo.Tracker.ShareBlocked(tried...)
	fo.NotifyPeers()
	fo.PublishParts()
}

// suspects returns what may be blocked: the parts of the prompt and the whole request.
func (rq *Request) suspects() []ml.PartID {
	if rq.Identity == "" {
		return rq.Parts
	}
	return append(slices.Clone(rq.Parts), rq.Identity)
}

// checkOnce decides whether a request may be sent now.
func (fo *Forwarder) checkOnce(now time.Time, rq *Request) attributor.Verdict {
	parts := rq.suspects()
	if len(parts) == 0 || rq.isTrial {
		return attributor.Verdict{}
	}
	return fo.Attributor.Check(now, parts, func(part ml.PartID) bool { return fo.mayTry(now, part) })
}

// mayTry reports whether this entry VM makes the trials of a blocked part. Of the whole
// fleet one does, since the others would crash an engine each. A request that is blocked
// as a whole comes too seldom to meet that one, so any entry VM tries it.
func (fo *Forwarder) mayTry(now time.Time, part ml.PartID) bool {
	if fo.Membership == nil {
		return false
	}
	view := fo.Membership(now)
	return view.Settled && (part.IsWhole() || fo.Divider.Share(view, string(part), 1) > 0)
}

// recordBegun records that the answer to a request has begun, which clears its parts.
func (fo *Forwarder) recordBegun(now time.Time, rq *Request) {
	parts := rq.suspects()
	if len(parts) == 0 {
		return
	}
	if cleared := fo.Attributor.RecordAnswer(now, parts); len(cleared) > 0 {
		fo.ShareCleared(cleared)
	}
}

// recordAnswered records that an endpoint has answered a request, also with an error: it
// lives. What has no seal is an answer of the entry VM that carried the request.
func (fo *Forwarder) recordAnswered(rq *Request, an *ml.Answer) {
	if an.Sealed {
		fo.recordBegun(time.Now(), rq)
	}
}

// reportCrash checks whether an engine that broke off a request, of which no answer had
// begun, may have crashed: its VM refuses connections. If so the parts of the prompt are
// suspect, here and at the other entry VMs, unless one of these refutes it. It returns
// before the request is sent again.
func (fo *Forwarder) reportCrash(ctx context.Context, rq *Request, pl *placement, ar attemptResult, sentAt time.Time) {
	hasFailed := ar.received && !ar.done && !ar.notRun && !ar.timedOut && !errors.Is(ar.err, errEndpointFailure)
	if len(rq.suspects()) == 0 || !hasFailed || ar.events >= minBegunEvents || ctx.Err() != nil {
		return
	}
	failedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	if fo.Exchanger.Connect(ctx, pl.lead) != ml.ConnectRefused {
		return
	}
	now := time.Now()
	sc := ml.SharedCrash{
		Endpoint: pl.lead.ID, Incarnation: pl.lead.Incarnation, Parts: rq.suspects(),
		SentAgeMs: now.Sub(sentAt).Milliseconds(), AgeMs: now.Sub(failedAt).Milliseconds(),
	}
	fo.Log.Info("crash suspected", "request", rq.Outgoing.Attempt, "endpoint", sc.Endpoint, "incarnation", sc.Incarnation, "parts", sc.Parts,
		"team", rq.Outgoing.Team, "route", rq.Route.Name, "sentAgeMs", sc.SentAgeMs)
	fo.Attributor.RecordOwnCrash(now, sc)
	fo.Tracker.ShareCrash(sc)
	fo.NotifyPeers()
	fo.PublishCrash(now, sc)
}
