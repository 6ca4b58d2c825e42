package attributor

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// clearPrecedence is how long after a part was cleared a record that it is blocked is
// taken for an older one.
const clearPrecedence = 5 * time.Second

// evaluationInterval is the time between two evaluations for requests that don't depend
// on the decision.
const evaluationInterval = 100 * time.Millisecond

// Verdict tells whether a request may be sent.
type Verdict struct {
	Blocked    ml.PartID        // the part for which it is refused; empty if it may be sent
	RetryAfter time.Duration    // until the next trial of that part
	Trial      bool             // it is sent as the trial of a blocked part
	Tried      []ml.SharedBlock // the blocked parts of a trial, for the other entry VMs
	Wait       time.Duration    // it has to wait, since a part may have to be blocked
}

// Check decides whether a request with the given parts may be sent. A request with a
// blocked part is sent only as a trial, if one is due and mayTry reports that this entry
// VM is the one that makes the trials of that part.
func (at *Attributor) Check(now time.Time, parts []ml.PartID, mayTry func(ml.PartID) bool) Verdict {
	at.mu.Lock()
	changes := []Change{}
	if at.isDue(now, parts) {
		changes = at.evaluate(now)
	}
	ve := at.check(now, parts, mayTry)
	at.mu.Unlock()
	at.notify(changes)
	return ve
}

// isDue reports whether a decision may have become possible that matters to a request
// with the given parts, or that others wait for.
func (at *Attributor) isDue(now time.Time, parts []ml.PartID) bool {
	if len(at.undecided) == 0 {
		return false
	}
	isUndecided := func(part ml.PartID) bool { return !at.undecided[part].IsZero() }
	return now.Sub(at.evaluatedAt) >= evaluationInterval || slices.ContainsFunc(parts, isUndecided)
}

func (at *Attributor) check(now time.Time, parts []ml.PartID, mayTry func(ml.PartID) bool) Verdict {
	ve := Verdict{}
	for _, part := range parts {
		bl := at.blocked[part]
		switch {
		case bl == nil:
			ve.Wait = max(ve.Wait, at.undecided[part].Sub(now))
		case now.Before(bl.nextTrial) || !mayTry(part):
			return Verdict{Blocked: part, RetryAfter: max(bl.nextTrial.Sub(now), trialInterval(part, 0))}
		default:
			ve.Trial = true
		}
	}
	if ve.Trial && ve.Wait == 0 {
		ve.Tried = at.recordTrial(now, parts)
	}
	return ve
}

// recordTrial records a trial of blocked parts, and returns them as they are sent to other
// entry VMs.
func (at *Attributor) recordTrial(now time.Time, parts []ml.PartID) []ml.SharedBlock {
	out := []ml.SharedBlock{}
	for _, part := range parts {
		if bl := at.blocked[part]; bl != nil {
			bl.setTrials(now, part, bl.trials+1)
			out = append(out, bl.shared(now, part))
		}
	}
	return out
}

func (bl *block) setTrials(now time.Time, part ml.PartID, trials int) {
	bl.trials = trials
	bl.nextTrial = now.Add(trialInterval(part, trials))
}

func (bl *block) shared(now time.Time, part ml.PartID) ml.SharedBlock {
	return ml.SharedBlock{Part: part, AgeMs: now.Sub(bl.since).Milliseconds(), Trials: bl.trials}
}

// Blocked returns the blocked parts as they are sent to other entry VMs.
func (at *Attributor) Blocked(now time.Time) []ml.SharedBlock {
	at.mu.Lock()
	defer at.mu.Unlock()
	out := []ml.SharedBlock{}
	for part, bl := range at.blocked {
		out = append(out, bl.shared(now, part))
	}
	slices.SortFunc(out, func(a, b ml.SharedBlock) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// ApplyPeerUpdate applies what another entry VM has reported. It returns the parts that
// are to be reported as cleared, since their answers have begun here after the crash.
func (at *Attributor) ApplyPeerUpdate(now time.Time, sm ml.ShareMessage) []ml.PartID {
	if len(sm.Crashes)+len(sm.Cleared)+len(sm.Blocked) == 0 {
		return nil
	}
	at.mu.Lock()
	known, first, changes := []ml.PartID{}, []ml.SharedCrash{}, []Change{}
	for _, sc := range sm.Crashes {
		isFirst, refuted := at.addReport(now, sc, true)
		changes = append(changes, refuted...)
		if isFirst {
			first = append(first, sc)
		}
		for _, part := range sc.Parts {
			if at.begun[part].After(sc.At(now)) {
				known = append(known, part)
			}
		}
	}
	_, cleared := at.clear(now, sm.Cleared, FromPeer)
	changes = append(changes, cleared...)
	for _, sb := range sm.Blocked {
		since := now.Add(-time.Duration(sb.AgeMs) * time.Millisecond)
		switch bl := at.blocked[sb.Part]; {
		case bl != nil && sb.Trials > bl.trials:
			bl.setTrials(now, sb.Part, sb.Trials)
		case bl == nil && at.cleared[sb.Part].Before(since):
			at.block(now, since, sb.Part, sb.Trials)
			changes = append(changes, Change{Part: sb.Part, Blocked: true, Source: FromPeer})
		}
	}
	changes = append(changes, at.evaluate(now)...)
	at.mu.Unlock()
	at.notify(changes)
	for _, sc := range first {
		if at.OnReport != nil {
			at.OnReport(now, sc, false)
		}
	}
	return known
}

// ApplyRecord applies the record of a part in the platform's store.
func (at *Attributor) ApplyRecord(now time.Time, part ml.PartID, ps ml.PartState) {
	at.mu.Lock()
	changes := []Change{}
	at.setRecorded(part, ps)
	switch bl := at.blocked[part]; {
	case !ps.Blocked && bl == nil: // keeps what it is suspect for
	case !ps.Blocked:
		_, changes = at.clear(now, []ml.PartID{part}, FromStore)
	case bl != nil && ps.Trials > bl.trials:
		bl.setTrials(now, part, ps.Trials)
	case bl == nil && now.Sub(at.cleared[part]) >= clearPrecedence:
		at.block(now, now, part, ps.Trials)
		changes = append(changes, Change{Part: part, Blocked: true, Source: FromStore})
	}
	at.mu.Unlock()
	at.notify(changes)
}

// setRecorded remembers the record of a part in the platform's store.
func (at *Attributor) setRecorded(part ml.PartID, ps ml.PartState) {
	if at.recorded == nil {
		at.recorded = make(map[ml.PartID]ml.PartState)
	}
	at.recorded[part] = ps
	if !ps.Blocked {
		delete(at.recorded, part)
	}
}

// Unrecorded returns the parts whose record in the platform's store differs from what
// this entry VM knows, with what it knows.
func (at *Attributor) Unrecorded() map[ml.PartID]ml.PartState {
	at.mu.Lock()
	defer at.mu.Unlock()
	out := map[ml.PartID]ml.PartState{}
	for part, bl := range at.blocked {
		if ps := (ml.PartState{Blocked: true, Trials: bl.trials}); at.recorded[part] != ps {
			out[part] = ps
		}
	}
	for part := range at.recorded {
		if !at.isBlocked(part) {
			out[part] = ml.PartState{}
		}
	}
	return out
}

// RecordWritten records that the platform's store has accepted the record of a part.
func (at *Attributor) RecordWritten(part ml.PartID, ps ml.PartState) {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.setRecorded(part, ps)
}

// Count returns the number of blocked parts.
func (at *Attributor) Count() int {
	at.mu.Lock()
	defer at.mu.Unlock()
	return len(at.blocked)
}
