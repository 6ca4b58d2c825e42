package attributor

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// RecordCrash records another entry VM's report that an engine's process has ended with a
// request on it that had not begun to be answered, or that such a report is refuted.
func (at *Attributor) RecordCrash(now time.Time, sc ml.SharedCrash) {
	at.record(now, sc, false)
}

// RecordOwnCrash records a report of this entry VM.
func (at *Attributor) RecordOwnCrash(now time.Time, sc ml.SharedCrash) {
	at.record(now, sc, true)
}

func (at *Attributor) record(now time.Time, sc ml.SharedCrash, isOwn bool) {
	at.mu.Lock()
	isFirst, changes := at.addReport(now, sc, true)
	changes = append(changes, at.evaluate(now)...)
	at.mu.Unlock()
	at.notify(changes)
	if isFirst && at.OnReport != nil {
		at.OnReport(now, sc, isOwn)
	}
}

// RecordPastCrash records a crash that this entry VM has learned of late, such as one from
// before its start. It may not know of the answers since, so such crashes alone don't block a
// request.
func (at *Attributor) RecordPastCrash(now time.Time, sc ml.SharedCrash) {
	at.mu.Lock()
	_, changes := at.addReport(now, sc, false)
	changes = append(changes, at.evaluate(now)...)
	at.mu.Unlock()
	at.notify(changes)
}

// addReport adds a report, and reports whether it is the first one of a crash.
func (at *Attributor) addReport(now time.Time, sc ml.SharedCrash, isWitnessed bool) (bool, []Change) {
	id := crashID{sc.Endpoint, sc.Incarnation}
	if sc.IsRefuted {
		return false, at.refute(now, id, sc.At(now))
	}
	if at.isRefuted(id, sc.At(now)) {
		return false, nil
	}
	isFirst := at.crashes[id] == nil
	cr := at.addCrash(now, sc)
	cr.isWitnessed = cr.isWitnessed || isWitnessed
	return isFirst, nil
}

// addCrash adds a report of a crash, and returns the crash.
func (at *Attributor) addCrash(now time.Time, sc ml.SharedCrash) *crash {
	id := crashID{sc.Endpoint, sc.Incarnation}
	crashedAt := sc.At(now)
	cr := at.crashes[id]
	if cr == nil {
		at.prune(now)
		if at.crashes == nil {
			at.crashes = make(map[crashID]*crash)
		}
		cr = &crash{at: crashedAt, sentAt: make(map[ml.PartID]time.Time), requests: make(map[ml.PartID][]ml.PartID)}
		at.crashes[id] = cr
	}
	sentAt := cr.at.Add(-time.Duration(sc.SentAgeMs-sc.AgeMs) * time.Millisecond) // so that late reports of a crash agree
	if whole := wholeOf(sc.Parts); whole != "" {
		cr.requests[whole] = sc.Parts
	}
	for _, part := range at.suspectsOf(cr, sc.Parts) {
		if at.begun[part].Before(cr.at) && at.cleared[part].Before(cr.at) && sentAt.After(cr.sentAt[part]) {
			cr.sentAt[part] = sentAt
		}
	}
	return cr
}

// prune drops crashes that no longer count, and the oldest ones if there are too many.
func (at *Attributor) prune(now time.Time) {
	for id, cr := range at.crashes {
		if now.Sub(cr.at) >= crashRetention {
			delete(at.crashes, id)
		}
	}
	for len(at.crashes) >= maxCrashes {
		oldest := crashID{}
		for id, cr := range at.crashes {
			if first := at.crashes[oldest]; first == nil || cr.at.Before(first.at) {
				oldest = id
			}
		}
		delete(at.crashes, oldest)
	}
	for id, when := range at.refuted {
		if now.Sub(when) >= crashRetention {
			delete(at.refuted, id)
		}
	}
	for part, when := range at.cleared {
		if now.Sub(when) >= crashRetention {
			delete(at.cleared, part)
		}
	}
}
