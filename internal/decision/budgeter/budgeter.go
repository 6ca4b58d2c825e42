// Package budgeter implements the retry budget and the back-off of retries. Retries
// are limited to a share of the requests, so that they don't amplify an outage.
package budgeter

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"
)

// defaultRetryBurst is the default of Budgeter.Burst.
const defaultRetryBurst = 20

// maxRetryDelay bounds the delay before a retry.
const maxRetryDelay = 2 * time.Second

// Budgeter is a retry budget. The zero value has a full budget. It is safe for
// concurrent use.
type Budgeter struct {
	Burst float64 // retries allowed without new requests; zero for the default

	mu    sync.Mutex
	spent float64 // retries not yet covered by requests
}

// SetBurst changes the burst.
func (bu *Budgeter) SetBurst(burst float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.Burst = burst
}

// RecordRequest records a request, which adds perCent/100 of a retry to the budget.
func (bu *Budgeter) RecordRequest(perCent float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.spent = max(bu.spent-perCent/100, 0)
}

// AllowRetry reports whether the budget allows one more retry, and if so takes it
// from the budget.
func (bu *Budgeter) AllowRetry() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.spent+1 > cmp.Or(bu.Burst, defaultRetryBurst) {
		return false
	}
	bu.spent++
	return true
}

// Delay returns the delay before a retry: exponential back-off with full jitter. The
// first retry has attempt 1.
func Delay(base time.Duration, attempt int) time.Duration {
	bound := base
	for i := 1; i < attempt && bound < maxRetryDelay; i++ {
		bound *= 2
	}
	return rand.N(min(bound, maxRetryDelay) + 1)
}
