// Package limiter decides how many requests an endpoint may carry at once. The
// limit starts at the cold capacity, opens as work completes and closes on
// trouble.
package limiter

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

const (
	// warmSuccesses is the number of answers after which an endpoint that
	// does not report its state counts as warm.
	warmSuccesses = 16
	// idleAfter is the time without an answer after which the endpoint's
	// state is no longer known.
	idleAfter = 30 * time.Second
)

// Limiter limits one endpoint.
type Limiter struct {
	Endpoint ml.Endpoint

	incarnation ml.Incarnation
	warm        bool
	window      int
	successes   int
	answered    time.Time
}

// Cold tells whether the endpoint must be taken for cold.
func (li *Limiter) Cold(now time.Time) bool {
	return !li.warm || now.Sub(li.answered) > idleAfter
}

// Window returns how many requests the endpoint may carry at once.
func (li *Limiter) Window(now time.Time) int {
	if li.Cold(now) && !mutator.Disabled(mutator.ColdLimit) {
		return min(li.Endpoint.ColdRequests, li.Endpoint.MaxRequests)
	}
	if mutator.Disabled(mutator.ColdLimit) {
		return li.Endpoint.MaxRequests
	}
	return min(li.window, li.Endpoint.MaxRequests)
}

// MaxUnconfirmed returns how many requests may be on their way, not yet accepted
// by the endpoint. An endpoint that restarts unseen receives at most these and
// as many again, while the news of earlier ones is under way.
func (li *Limiter) MaxUnconfirmed() int {
	if mutator.Disabled(mutator.ColdLimit) {
		return li.Endpoint.MaxRequests
	}
	return max(li.Endpoint.ColdRequests/2, 1)
}

// Succeeded records a complete answer.
func (li *Limiter) Succeeded(now time.Time) {
	if now.Sub(li.answered) > idleAfter {
		li.close()
	}
	li.answered = now
	li.successes++
	if !li.warm && li.successes >= warmSuccesses {
		li.open()
	}
	if li.warm {
		li.window++
	}
}

// Failed records that the endpoint broke off or could not be reached.
func (li *Limiter) Failed() { li.close() }

// ObserveIncarnation records the incarnation of the endpoint that accepted a request or
// answered a question. A new one is cold.
func (li *Limiter) ObserveIncarnation(in ml.Incarnation) {
	if in == "" || in == li.incarnation {
		return
	}
	li.incarnation = in
	li.close()
}

// ObserveLoad records a load report. It counts only when it comes from the
// current incarnation, since reports lag.
func (li *Limiter) ObserveLoad(now time.Time, lo ml.EngineLoad) {
	if lo.Incarnation != li.incarnation || !lo.Warm || li.warm {
		return
	}
	li.answered = now
	li.open()
}

func (li *Limiter) open() {
	li.warm = true
	li.window = li.Endpoint.ColdRequests
}

func (li *Limiter) close() {
	li.warm = false
	li.successes = 0
	li.window = 0
}

// Incarnation returns the incarnation seen last.
func (li *Limiter) Incarnation() ml.Incarnation { return li.incarnation }
