// Package reclaimer decides when engine memory that was reserved for a prompt, but that no
// request uses, is given back. It answers a lead engine that accepts a prompt and hangs: the
// memory reserved at its helpers would otherwise be renewed until the caller leaves.
package reclaimer

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// releaseMargin allows for a last question that is not answered, for the order that gives
	// memory back, and for their transit.
	releaseMargin = 1300 * time.Millisecond
	// firstCheckShare is the share of the time until memory is given back after which the
	// engine is first asked whether it is used: asking is not free, and most prompts have
	// begun by then.
	firstCheckShare = 0.6
	// checkInterval is the time between two checks.
	checkInterval = time.Second
)

// Reclaimer decides about memory that is reserved for one prompt. The zero value never gives
// any back.
type Reclaimer struct {
	MaxIdle time.Duration // the longest time that unused memory may stay reserved; 0 for no limit
	Term    time.Duration // for which an engine keeps memory that is neither renewed nor released
}

// limit returns the time after which unused memory is given back. It lapses in time even if the
// order to release it is lost.
func (re Reclaimer) limit() time.Duration {
	return max(re.MaxIdle-re.Term-releaseMargin, 0)
}

// FirstCheck returns the time after the reservation at which the engine is first asked whether the
// memory is used. The second result is false if it is never given back.
func (re Reclaimer) FirstCheck() (time.Duration, bool) {
	return time.Duration(firstCheckShare * float64(re.limit())), re.MaxIdle > 0
}

// Verdict is what happens to reserved memory.
type Verdict struct {
	GiveBack bool
	Settled  bool          // the memory is used: no further check is needed
	CheckIn  time.Duration // until the next check, unless it is settled or given back
}

// Decide decides at now about memory that was reserved at reservedAt. An engine that does not say
// whether the memory is used counts as one that hangs.
func (re Reclaimer) Decide(now, reservedAt time.Time, use ml.HoldUse) Verdict {
	left := re.limit() - now.Sub(reservedAt)
	switch {
	case use == ml.HoldUsed:
		return Verdict{Settled: true}
	case left <= 0:
		return Verdict{GiveBack: true}
	}
	return Verdict{CheckIn: min(left, checkInterval)}
}
