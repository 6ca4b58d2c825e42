// Package stopper leads a process through a planned stop. After the signal it still serves for
// a time; then it refuses what has not been sent to an endpoint yet; and shortly before its end
// it answers all that is still under way, so that no connection ends without a word.
package stopper

import (
	"context"
	"sync"
	"time"
)

// Stopper knows how far a planned stop has come.
type Stopper struct {
	// RefuseAfter is the time from the signal until requests that have not been sent are
	// refused, EndAfter that until all requests are ended.
	RefuseAfter, EndAfter time.Duration

	mu               sync.Mutex
	signaledAt       time.Time // zero before the signal
	refusing, ending context.Context
	refuse, end      context.CancelFunc
}

// New returns a stopper of a process that has not been signaled to stop.
func New(refuseAfter, endAfter time.Duration) *Stopper {
	st := &Stopper{RefuseAfter: min(refuseAfter, endAfter), EndAfter: endAfter}
	st.refusing, st.refuse = context.WithCancel(context.Background())
	st.ending, st.end = context.WithCancel(context.Background())
	return st
}

// Signal begins the stop as of a time. Later calls have no effect.
func (st *Stopper) Signal(now, at time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.signaledAt.IsZero() {
		return
	}
	st.signaledAt = at
	callAfter(st.RefuseAfter-now.Sub(at), st.refuse)
	callAfter(st.EndAfter-now.Sub(at), st.end)
}

// callAfter calls a function after a time, and at once if that has passed.
func callAfter(delay time.Duration, call func()) {
	if delay <= 0 {
		call()
		return
	}
	time.AfterFunc(delay, call)
}

// IsStopping reports whether the process has been signaled to stop.
func (st *Stopper) IsStopping() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return !st.signaledAt.IsZero()
}

// RefusesNew reports whether requests that have not been sent are refused.
func (st *Stopper) RefusesNew() bool { return st.refusing.Err() != nil }

// Refusing returns a context that ends when requests that have not been sent are refused.
func (st *Stopper) Refusing() context.Context { return st.refusing }

// Ending returns a context that ends when all requests are ended.
func (st *Stopper) Ending() context.Context { return st.ending }
