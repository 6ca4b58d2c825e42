package placer

import (
	"time"

	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry time of a caller that can't
	// be served before its deadline.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 5 * time.Second
	// lateRetryAfter is the minimum retry time of a caller that could be served,
	// but only late and at the expense of others. It leaves the engines time to
	// become free.
	lateRetryAfter = 4 * time.Second
	// minIdleShare is the minimum share of engines that idleTime assumes to be
	// idle. maxIdleTime bounds its result.
	minIdleShare = 0.05
	maxIdleTime  = 30 * time.Second
)

// retryAfter returns when the caller of a refused prompt should retry.
func (ch *chooser) retryAfter(best Choice) time.Duration {
	if best.Lead >= 0 && best.FirstEventAt.Before(ch.rq.FirstEventDeadline) {
		return max(lateRetryAfter, ch.idleTime())
	}
	return max(min(max(ch.earliestFirstEvent(best).Sub(ch.rq.FirstEventDeadline), minRetryAfter), maxRetryAfter), ch.idleTime())
}

// idleTime returns the time in which the engines, at their current load, have
// as much idle engine time as the prefill of the prompt needs.
func (ch *chooser) idleTime() time.Duration {
	whole := forecaster.PrefillTime(ch.rq.Profile, ch.rq.Prompt, 1)
	idleEngines := max(1-ch.busyShare(), minIdleShare) * float64(max(len(ch.states), 1))
	return min(time.Duration(float64(whole)/idleEngines), maxIdleTime)
}

// earliestFirstEvent returns the predicted first event of a refused prompt, or
// the time when the first engine has no pending prefill if there is no placement.
func (ch *chooser) earliestFirstEvent(best Choice) time.Time {
	if best.Lead >= 0 {
		return best.FirstEventAt
	}
	earliest := ch.rq.FirstEventDeadline.Add(minRetryAfter)
	for i := range ch.states {
		if at := ch.states[i].engine.PrefillDoneAt; i == 0 || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}
