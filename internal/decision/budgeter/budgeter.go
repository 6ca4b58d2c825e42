// Package budgeter decides whether a request may be tried again, and when.
// Retries are a bounded share of the requests, so that they can't multiply a
// failure.
package budgeter

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"
)

// defaultBurst is the number of retries allowed at once.
const defaultBurst = 20

// maxDelay bounds the wait before a retry.
const maxDelay = 2 * time.Second

// Budgeter counts requests and retries. The zero value has a full budget.
type Budgeter struct {
	Burst float64 // retries allowed at once; zero for the default

	mu    sync.Mutex
	spent float64 // retries beyond the share, at most the burst
}

// RecordRequest records a request, which earns a share of a retry.
func (bu *Budgeter) RecordRequest(perCent float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.spent = max(bu.spent-perCent/100, 0)
}

// AllowRetry tells whether one more retry is within the budget, and takes it.
func (bu *Budgeter) AllowRetry() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.spent+1 > cmp.Or(bu.Burst, defaultBurst) {
		return false
	}
	bu.spent++
	return true
}

// Delay returns the wait before the attempt-th retry, 1 for the first: doubled
// each time, with full jitter.
func Delay(base time.Duration, attempt int) time.Duration {
	top := base
	for i := 1; i < attempt && top < maxDelay; i++ {
		top *= 2
	}
	return rand.N(min(top, maxDelay) + 1)
}
