// Package attributor attributes crashes of engines to parts of prompts and to requests as
// a whole, which count as a part of themselves. A part on which engines crash one after
// another, and no answer begins, is blocked: its requests are refused, since each of them
// would end the next engine and the answers on it.
//
// A crash makes all parts suspect whose requests were at the engine and had not begun to
// be answered, also those of sound requests beside the one that caused it. An answer
// that has begun clears its parts.
package attributor

import (
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// minSuccessiveCrashes is the number of crashes, each with a request that was sent
	// after the one before, for which a part is blocked if it was at one engine in
	// maxCrashesPerCause that crashed meanwhile. One crash may have any cause, and a sound
	// request that is repeated may meet the same cause twice.
	minSuccessiveCrashes, maxCrashesPerCause = 3, 3
	// certainSuccessiveCrashes is the number of such crashes for which a part is blocked
	// however many other engines crash.
	certainSuccessiveCrashes = 5
	// minCrashes is the number of crashes for which a part is blocked whenever their
	// requests were sent, if no answer with it has begun within quietTime after that.
	minCrashes = 5
	quietTime  = time.Second
	// GatherTime is the time after a crash in which the other entry VMs report their
	// requests at the engine, or refute the crash. No part is blocked before, and
	// requests with one that may have to be blocked wait.
	GatherTime = 300 * time.Millisecond
	// crashRetention is how long a crash counts.
	crashRetention = 10 * time.Minute
	// maxCrashes bounds the crashes that are kept, and maxBegunParts the parts whose
	// answers are remembered.
	maxCrashes, maxBegunParts = 256, 4096
	// recentAnswers is the number of answers that are remembered to tell whether any
	// without a part has begun.
	recentAnswers = 16
)

// Attributor holds the crashes and the blocked parts that one entry VM knows of. The
// zero value is ready to use. It is safe for concurrent use.
type Attributor struct {
	// OnChange is called without locks held when a part is blocked or cleared. It may
	// be nil.
	OnChange func(ch Change)
	// OnReport is called without locks held with the first report of each crash, and with
	// whether it is this entry VM's own. It may be nil.
	OnReport func(now time.Time, sc ml.SharedCrash, isOwn bool)

	mu       sync.Mutex
	crashes  map[crashID]*crash
	begun    map[ml.PartID]time.Time // when an answer of this entry VM with a part last began
	answers  []answer                // of this entry VM, the newest last
	blocked  map[ml.PartID]*block
	cleared  map[ml.PartID]time.Time    // when a part that was suspect or blocked was cleared
	refuted  map[crashID]time.Time      // until when crashes are refuted
	recorded map[ml.PartID]ml.PartState // of the blocked parts, according to the platform's store

	evaluatedAt time.Time
	undecided   map[ml.PartID]time.Time // parts that may have to be blocked, and when that is decided
}

// Change is a part that was blocked or cleared.
type Change struct {
	Part    ml.PartID
	Blocked bool
	Source  Source
	Crashes []ml.EndpointID // engines that crashed on it, if known here
}

// Source tells from where an entry VM knows of a change.
type Source string

// The sources of changes.
const (
	FromCrashes Source = "crashes" // found from crashes
	FromAnswer  Source = "answer"  // an answer with the part has begun
	FromPeer    Source = "peer"    // another entry VM has reported it
	FromStore   Source = "store"   // the platform's store has a record of it
	FromRefuted Source = "refuted" // the engines have not crashed
)

// crashID identifies the end of one incarnation of an engine.
type crashID struct {
	endpoint    ml.EndpointID
	incarnation ml.Incarnation
}

// crash is the end of an engine's process.
type crash struct {
	at          time.Time
	sentAt      map[ml.PartID]time.Time   // when the last request with a suspect part was sent
	requests    map[ml.PartID][]ml.PartID // the parts of each request, by the id of the whole
	isWitnessed bool                      // it was reported while this entry VM ran
}

// answer is an answer that has begun.
type answer struct {
	at    time.Time
	parts []ml.PartID
}

// block is the state of a blocked part.
type block struct {
	since     time.Time
	nextTrial time.Time
	trials    int       // requests that the fleet has sent to see whether engines still crash
	crashes   []crashID // attributed to it, of those known here
}

func (at *Attributor) isBlocked(part ml.PartID) bool { return at.blocked[part] != nil }

// isExplained reports whether a request with a blocked part in its prompt was at the engine
// that crashed.
func (at *Attributor) isExplained(cr *crash) bool {
	for part := range cr.sentAt {
		if !part.IsWhole() && at.isBlocked(part) {
			return true
		}
	}
	return false
}

// RecordAnswer records that an answer of this entry VM to a prompt with the given parts
// has begun. It returns those that were suspect or blocked, to be reported to the other
// entry VMs.
func (at *Attributor) RecordAnswer(now time.Time, parts []ml.PartID) []ml.PartID {
	at.mu.Lock()
	if at.begun == nil || len(at.begun) >= maxBegunParts {
		at.begun = make(map[ml.PartID]time.Time)
	}
	for _, part := range parts {
		at.begun[part] = now
	}
	if at.answers = append(at.answers, answer{now, parts}); len(at.answers) > recentAnswers {
		at.answers = at.answers[1:]
	}
	cleared, changes := at.clear(now, parts, FromAnswer)
	at.mu.Unlock()
	at.notify(changes)
	return cleared
}

// clear removes parts from the crashes before now and from the blocked ones. It returns
// those that were suspect or blocked.
func (at *Attributor) clear(now time.Time, parts []ml.PartID, source Source) ([]ml.PartID, []Change) {
	out, changes := []ml.PartID{}, []Change{}
	for _, part := range parts {
		found := at.isBlocked(part)
		if found {
			delete(at.blocked, part)
			changes = append(changes, Change{Part: part, Source: source})
		}
		for _, cr := range at.crashes {
			if _, suspect := cr.sentAt[part]; suspect && cr.at.Before(now) {
				delete(cr.sentAt, part)
				found = true
			}
		}
		if found {
			out = append(out, part)
			at.setCleared(now, part)
		}
	}
	return out, changes
}

// ApplyCleared applies a record of the platform's store that answers with some parts had
// begun at a time: they are cleared of the crashes before. What is blocked stays so until
// its own record is gone.
func (at *Attributor) ApplyCleared(when time.Time, parts []ml.PartID) {
	at.mu.Lock()
	defer at.mu.Unlock()
	for _, part := range parts {
		for _, cr := range at.crashes {
			if !at.isBlocked(part) && cr.at.Before(when) {
				delete(cr.sentAt, part)
			}
		}
		if at.cleared[part].Before(when) {
			at.setCleared(when, part)
		}
	}
}

func (at *Attributor) setCleared(now time.Time, part ml.PartID) {
	if at.cleared == nil {
		at.cleared = make(map[ml.PartID]time.Time)
	}
	at.cleared[part] = now
}

// block blocks a part, after a number of trials. It explains the crashes for which it was
// suspect, which then no longer count against others.
func (at *Attributor) block(now, since time.Time, part ml.PartID, trials int) {
	evidence := []crashID{}
	for id, cr := range at.crashes {
		if _, suspect := cr.sentAt[part]; suspect {
			cr.explain(part)
			evidence = append(evidence, id)
		}
	}
	if at.blocked == nil {
		at.blocked = make(map[ml.PartID]*block)
	}
	bl := &block{since: since, crashes: evidence}
	bl.setTrials(now, part, trials)
	at.blocked[part] = bl
}

func (at *Attributor) notify(changes []Change) {
	if at.OnChange == nil {
		return
	}
	for _, ch := range changes {
		at.OnChange(ch)
	}
}
