package placer

import (
	"time"

	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
)

const (
	// retryLeast and retryMost bound the time after which a caller is asked to
	// come again.
	retryLeast, retryMost = 100 * time.Millisecond, 5 * time.Second
	// retryBusy is the same for one that could be served, but only late and at
	// the cost of others: not before engines have had time to become free.
	retryBusy = 4 * time.Second
	// idleLeast is the least share of engines that is taken to be idle when time
	// to spare is reckoned, and spareMost the longest such time.
	idleLeast = 0.05
	spareMost = 30 * time.Second
)

// retry returns when the caller of a prompt that is lost should come again.
func (ch *chooser) retry(best Choice) time.Duration {
	if best.Lead >= 0 && best.FirstEventAt.Before(ch.rq.FirstEventDeadline) {
		return max(retryBusy, ch.spare())
	}
	return max(min(max(ch.soonest(best).Sub(ch.rq.FirstEventDeadline), retryLeast), retryMost), ch.spare())
}

// spare returns the time within which the engines, as busy as they are, have as
// much time to spare as the prompt takes.
func (ch *chooser) spare() time.Duration {
	whole := forecaster.PrefillTime(ch.rq.Profile, ch.rq.Prompt, 1)
	idle := max(1-ch.busy(), idleLeast) * float64(max(len(ch.states), 1))
	return min(time.Duration(float64(whole)/idle), spareMost)
}

// soonest returns when a prompt that is lost now could have its first event: as
// predicted, or when the first engine is free of what it reads.
func (ch *chooser) soonest(best Choice) time.Time {
	if best.Lead >= 0 {
		return best.FirstEventAt
	}
	free := ch.rq.FirstEventDeadline.Add(retryLeast)
	for i := range ch.states {
		if at := ch.states[i].engine.Free; i == 0 || at.Before(free) {
			free = at
		}
	}
	return free
}
