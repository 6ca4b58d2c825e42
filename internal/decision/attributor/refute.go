package attributor

import (
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// refutedSpan is the time after a crash within which reports are of the same one: the
// clocks of their reporters differ by the time that the reports take.
const refutedSpan = 100 * time.Millisecond

// IsRefuted reports whether a crash was refuted: the engine lived after it.
func (at *Attributor) IsRefuted(id ml.EndpointID, in ml.Incarnation, crashedAt time.Time) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.isRefuted(crashID{id, in}, crashedAt)
}

func (at *Attributor) isRefuted(id crashID, crashedAt time.Time) bool {
	until, found := at.refuted[id]
	return found && !until.Before(crashedAt)
}

// refute withdraws a crash at a time, and clears the parts that would not be blocked without
// it. The engine may have crashed later.
func (at *Attributor) refute(now time.Time, id crashID, crashedAt time.Time) []Change {
	if at.refuted == nil {
		at.refuted = make(map[crashID]time.Time)
	}
	if until := crashedAt.Add(refutedSpan); at.refuted[id].Before(until) {
		at.refuted[id] = until
	}
	if cr := at.crashes[id]; cr == nil || !at.isRefuted(id, cr.at) {
		return nil
	}
	delete(at.crashes, id)
	changes := []Change{}
	for part, bl := range at.blocked {
		if !slices.Contains(bl.crashes, id) {
			continue
		}
		bl.crashes = slices.DeleteFunc(bl.crashes, func(other crashID) bool { return other == id })
		if len(bl.crashes) < leastCrashes(part) {
			delete(at.blocked, part)
			at.setCleared(now, part)
			changes = append(changes, Change{Part: part, Source: FromRefuted})
		}
	}
	return changes
}

// leastCrashes returns the number of crashes without which a part is not blocked.
func leastCrashes(part ml.PartID) int {
	if part.IsWhole() {
		return minRequestCrashes
	}
	return minSuccessiveCrashes
}
