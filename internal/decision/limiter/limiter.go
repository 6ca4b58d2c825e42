// Package limiter limits the concurrent requests of an endpoint. The limit starts at
// the cold capacity, grows with each answer once the endpoint is warm, and falls
// back to the cold capacity after a failure, a restart or a long idle time.
package limiter

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

const (
	// warmAfterAnswers is the number of answers after which an endpoint that does
	// not report its state is considered warm.
	warmAfterAnswers = 16
	// maxWarmIdle is the time without an answer after which a warm endpoint is
	// considered cold.
	maxWarmIdle = 30 * time.Second
)

// Limiter limits the concurrent requests of one endpoint.
type Limiter struct {
	Endpoint ml.Endpoint

	incarnation  ml.Incarnation
	warm         bool
	window       int
	successes    int
	lastAnswerAt time.Time
}

// Cold reports whether the endpoint is considered cold.
func (li *Limiter) Cold(now time.Time) bool {
	return !li.warm || now.Sub(li.lastAnswerAt) > maxWarmIdle
}

// Window returns the maximum number of concurrent requests.
func (li *Limiter) Window(now time.Time) int {
	if li.Cold(now) && !mutator.Disabled(mutator.ColdLimit) {
		return min(li.Endpoint.ColdRequests, li.Endpoint.MaxRequests)
	}
	if mutator.Disabled(mutator.ColdLimit) {
		return li.Endpoint.MaxRequests
	}
	return min(li.window, li.Endpoint.MaxRequests)
}

// Growth returns by how many requests the window may still grow, one with each answer.
func (li *Limiter) Growth(now time.Time) int {
	if li.Cold(now) {
		return 0
	}
	return max(li.Endpoint.MaxRequests-li.Window(now), 0)
}

// MaxUnconfirmed returns the maximum number of requests that are sent but not yet
// accepted by the endpoint. It bounds the requests that reach a restarted endpoint
// before the restart is detected: at most twice this number, since confirmations of
// earlier requests may still be in transit.
func (li *Limiter) MaxUnconfirmed() int {
	if mutator.Disabled(mutator.ColdLimit) {
		return li.Endpoint.MaxRequests
	}
	return max(li.Endpoint.ColdRequests/2, 1)
}

// Succeeded records a complete answer.
func (li *Limiter) Succeeded(now time.Time) {
	if now.Sub(li.lastAnswerAt) > maxWarmIdle {
		li.setCold()
	}
	li.lastAnswerAt = now
	li.successes++
	if !li.warm && li.successes >= warmAfterAnswers {
		li.setWarm()
	}
	if li.warm {
		li.window++
	}
}

// Failed records that the endpoint was unreachable or failed during a request.
func (li *Limiter) Failed() { li.setCold() }

// ObserveIncarnation records the incarnation with which the endpoint accepted a
// request or sent a report. A new incarnation is cold.
func (li *Limiter) ObserveIncarnation(in ml.Incarnation) {
	if in == "" || in == li.incarnation {
		return
	}
	li.incarnation = in
	li.setCold()
}

// ObserveLoad records a load report. Reports of other incarnations than the current
// one are ignored, since reports lag.
func (li *Limiter) ObserveLoad(now time.Time, lo ml.EngineLoad) {
	if lo.Incarnation != li.incarnation || !lo.Warm || li.warm {
		return
	}
	li.lastAnswerAt = now
	li.setWarm()
}

func (li *Limiter) setWarm() {
	li.warm = true
	li.window = li.Endpoint.ColdRequests
}

func (li *Limiter) setCold() {
	li.warm = false
	li.successes = 0
	li.window = 0
}

// Incarnation returns the latest known incarnation.
func (li *Limiter) Incarnation() ml.Incarnation { return li.incarnation }
