package attributor

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// evaluate blocks the parts to which crashes are attributed, those with the most evidence
// first.
func (at *Attributor) evaluate(now time.Time) []Change {
	at.evaluatedAt = now
	changes := []Change{}
	for causes := at.causes(now); len(causes) > 0; causes = at.causes(now) {
		for i := range causes {
			changes = append(changes, causes[i].change())
			at.block(now, now, causes[i].part, 0)
		}
	}
	at.undecided = make(map[ml.PartID]time.Time)
	for _, su := range at.suspects(now) {
		if su.mayBeCause() {
			at.undecided[su.part] = su.counted.Add(GatherTime)
		}
	}
	return changes
}

// change returns the change when the part is blocked.
func (su *suspect) change() Change {
	ch := Change{Part: su.part, Blocked: true, Source: FromCrashes}
	for _, id := range su.crashes {
		ch.Crashes = append(ch.Crashes, id.endpoint)
	}
	return ch
}

// suspect is the evidence against a part.
type suspect struct {
	part       ml.PartID
	crashes    []crashID // in order of time
	successive int       // crashes, each with a request that was sent after the one before
	counted    time.Time // newest crash in successive
	first      time.Time // oldest crash
	last       time.Time // newest crash
	decisive   time.Time // the crash that makes them enough without succession, or the newest if there are fewer
}

// causes returns what to block next: requests with enough evidence, or a part of prompts,
// which may account for the crashes of many requests, if it was at more crashes. It decides
// by the crashes of which all entry VMs have reported their requests.
func (at *Attributor) causes(now time.Time) []suspect {
	reported := at.suspects(now.Add(-GatherTime))
	requests := at.guiltyRequests(now, reported)
	for i := range reported {
		su := &reported[i]
		if !su.part.IsWhole() && at.isCause(now, reported, su) && !slices.ContainsFunc(requests, su.isLessThan) {
			return reported[i : i+1]
		}
	}
	return requests
}

// isLessThan reports whether another suspect was at more crashes.
func (su *suspect) isLessThan(other suspect) bool { return len(other.crashes) > len(su.crashes) }

// mayBeCause reports whether the crashes may suffice to block a part.
func (su *suspect) mayBeCause() bool {
	if su.part.IsWhole() {
		return su.successive >= minRequestCrashes || len(su.crashes) >= repeatedCrashes
	}
	return su.successive >= minSuccessiveCrashes || len(su.crashes) >= minCrashes
}

// isCause reports whether crashes are attributed to a part of prompts. It must have enough
// of them, and no other part and no single request may account for all of these.
func (at *Attributor) isCause(now time.Time, all []suspect, su *suspect) bool {
	if at.isOneRequest(su) {
		return false
	}
	others := 0
	for i := range all {
		other := &all[i]
		if other.part == su.part || other.part.IsWhole() || !other.accountsFor(su) {
			continue
		}
		if len(other.crashes) > len(su.crashes) {
			return false
		}
		others++
	}
	if at.isRepeated(su) && others == 0 && at.answersWithout(su.part, su.first) {
		return true
	}
	return len(su.crashes) >= minCrashes && now.Sub(su.decisive) >= quietTime && at.answersWithout(su.part, su.decisive)
}

// isRepeated reports whether a part was at enough engines that crashed one after another,
// and at enough of all that crashed meanwhile.
func (at *Attributor) isRepeated(su *suspect) bool {
	if su.successive >= certainSuccessiveCrashes {
		return true
	}
	meanwhile, enough := at.unexplainedCrashes(su.first.Add(-aloneTime), su.last), minSuccessiveCrashes
	if meanwhile > len(su.crashes) {
		enough++ // some engines crash for another reason
	}
	return su.successive >= enough && maxCrashesPerCause*len(su.crashes) >= meanwhile
}

// unexplainedCrashes returns the number of crashes within a period that are not attributed
// to a blocked part.
func (at *Attributor) unexplainedCrashes(first, last time.Time) int {
	n := 0
	for _, cr := range at.crashes {
		if !cr.at.Before(first) && !cr.at.After(last) && !at.isExplained(cr) {
			n++
		}
	}
	return n
}

// accountsFor reports whether the part was at all engines at which another one was.
func (su *suspect) accountsFor(other *suspect) bool {
	return !slices.ContainsFunc(other.crashes, func(id crashID) bool { return !slices.Contains(su.crashes, id) })
}

// answersWithout reports whether an answer to a request without the part has begun since a
// time: engines work, but not for this part. To a part of prompts only prompts matter, since
// the endpoints of plain services never get it.
func (at *Attributor) answersWithout(part ml.PartID, since time.Time) bool {
	return slices.ContainsFunc(at.answers, func(an answer) bool {
		return an.at.After(since) && !slices.Contains(an.parts, part) && (part.IsWhole() || an.isOfPrompt())
	})
}

// isOfPrompt reports whether the answer is to a prompt with known parts.
func (an *answer) isOfPrompt() bool {
	return slices.ContainsFunc(an.parts, func(part ml.PartID) bool { return !part.IsWhole() })
}

// suspects returns the parts that are suspect by the crashes up to a time and not
// blocked, those with the most evidence first. Of parts with the same evidence, those come first of which this entry
// VM has never seen an answer begin.
func (at *Attributor) suspects(until time.Time) []suspect {
	ids := make([]crashID, 0, len(at.crashes))
	for id, cr := range at.crashes {
		if !cr.at.After(until) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b crashID) int {
		return cmp.Or(at.crashes[a].at.Compare(at.crashes[b].at), cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.incarnation, b.incarnation))
	})
	byPart := map[ml.PartID]*suspect{}
	for _, id := range ids {
		for part, sentAt := range at.crashes[id].sentAt {
			if at.isBlocked(part) {
				continue
			}
			su := byPart[part]
			if su == nil {
				su = &suspect{part: part}
				byPart[part] = su
			}
			su.add(id, at.crashes[id].at, sentAt)
		}
	}
	out := make([]suspect, 0, len(byPart))
	for _, su := range byPart {
		out = append(out, *su)
	}
	slices.SortFunc(out, func(a, b suspect) int {
		return cmp.Or(len(b.crashes)-len(a.crashes), at.begun[a.part].Compare(at.begun[b.part]), cmp.Compare(a.part, b.part))
	})
	return out
}

// add adds the next crash.
func (su *suspect) add(id crashID, at, sentAt time.Time) {
	su.crashes = append(su.crashes, id)
	if su.successive == 0 {
		su.first = at
	}
	if su.successive == 0 || sentAt.After(su.counted) {
		su.successive++
		su.counted = at
	}
	su.last = at
	enough := minCrashes
	if su.part.IsWhole() {
		enough = repeatedCrashes
	}
	if len(su.crashes) <= enough {
		su.decisive = at
	}
}
