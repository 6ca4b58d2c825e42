//go:build review

package main

import (
	"slices"
	"time"
)

// chunk is the number of prompt tokens that an engine reads in one step at the most.
const chunk = 2048

// job is a request at a model engine.
type job struct {
	tokensLeft float64       // of the prompt, or of its part of it, that are not read yet
	timeLeft   time.Duration // that reading them takes
	events     chan struct{} // one entry for each pass in which the engine writes for it
}

func newJob(prompt, parts int) *job {
	const maxEvents = 1 << 12
	n, k := float64(prompt), float64(parts)
	reading := time.Duration((n/prefillRate*float64(time.Second) + n*n/2/1e6*float64(prefillPairs)) / k)
	return &job{tokensLeft: n / k, timeLeft: reading, events: make(chan struct{}, maxEvents)}
}

func (en *Engine) addJob(jo *job) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.jobs = append(en.jobs, jo)
}

func (en *Engine) removeJob(jo *job) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.jobs = slices.DeleteFunc(en.jobs, func(other *job) bool { return other == jo })
}

// work processes all requests in passes. In each, the engine takes eventTokens steps for those
// that it writes for, and reads as many prompt tokens as fit into these steps.
func (en *Engine) work() {
	const idleTime = 2 * time.Millisecond
	for {
		writers, duration := en.beginPass()
		if duration == 0 {
			duration = idleTime
		}
		time.Sleep(duration)
		for _, jo := range writers {
			jo.events <- struct{}{}
		}
	}
}

// beginPass returns the requests for which the next pass writes, and its duration.
func (en *Engine) beginPass() ([]*job, time.Duration) {
	step := en.step()
	en.mu.Lock()
	defer en.mu.Unlock()
	writers, duration := []*job{}, time.Duration(0)
	for _, jo := range en.jobs {
		if jo.tokensLeft <= 0 {
			writers = append(writers, jo)
		}
	}
	if len(writers) > 0 {
		duration = eventTokens * step
	}
	budget := float64(eventTokens * chunk)
	for _, jo := range en.jobs {
		if jo.tokensLeft <= 0 || budget <= 0 {
			continue
		}
		tokens := min(jo.tokensLeft, budget)
		spent := time.Duration(float64(jo.timeLeft) * tokens / jo.tokensLeft)
		jo.tokensLeft, jo.timeLeft, budget = jo.tokensLeft-tokens, jo.timeLeft-spent, budget-tokens
		duration += spent
	}
	return writers, duration
}
