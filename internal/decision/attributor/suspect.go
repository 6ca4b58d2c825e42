package attributor

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// evaluate blocks the parts to which crashes are attributed, the one with the most
// evidence first.
func (at *Attributor) evaluate(now time.Time) []Change {
	at.evaluatedAt = now
	changes := []Change{}
	for {
		part, ids := at.mostSuspect(now)
		if len(ids) == 0 {
			return changes
		}
		ch := Change{Part: part, Blocked: true, Source: FromCrashes}
		for _, id := range ids {
			ch.Crashes = append(ch.Crashes, id.endpoint)
		}
		at.block(now, now, part)
		changes = append(changes, ch)
	}
}

// suspect is the evidence against a part.
type suspect struct {
	part       ml.PartID
	crashes    []crashID // in order of time
	successive int       // crashes, each with a request that was sent after the one before
	counted    time.Time // newest crash in successive
	first      time.Time // oldest crash
	last       time.Time // newest crash
	decisive   time.Time // crash number minCrashes, or the newest if there are fewer
}

// mostSuspect returns the part to block next, with its crashes. There are none if no
// part is to be blocked. It decides by the crashes of which all entry VMs have reported
// their requests, and records the parts on which the newer ones may bring a decision.
func (at *Attributor) mostSuspect(now time.Time) (ml.PartID, []crashID) {
	reported := at.suspects(now.Add(-gatherTime))
	for i := range reported {
		if su := &reported[i]; at.isCause(now, reported, su) {
			return su.part, su.crashes
		}
	}
	at.undecided = make(map[ml.PartID]time.Time)
	for _, su := range at.suspects(now) {
		if su.successive >= minSuccessiveCrashes || len(su.crashes) >= minCrashes {
			at.undecided[su.part] = su.counted.Add(gatherTime)
		}
	}
	return "", nil
}

// isCause reports whether crashes are attributed to a part. It must have enough of them,
// and no other part may account for all of these.
func (at *Attributor) isCause(now time.Time, all []suspect, su *suspect) bool {
	others := 0
	for i := range all {
		other := &all[i]
		if other.part == su.part || !other.accountsFor(su) {
			continue
		}
		if len(other.crashes) > len(su.crashes) {
			return false
		}
		others++
	}
	isFrequent := su.successive >= certainSuccessiveCrashes || maxCrashesPerCause*len(su.crashes) >= at.unexplainedCrashes(su.first, su.last)
	if su.successive >= minSuccessiveCrashes && isFrequent && others == 0 && at.answersWithout(su.part, su.first) {
		return true
	}
	return len(su.crashes) >= minCrashes && now.Sub(su.decisive) >= quietTime && at.answersWithout(su.part, su.decisive)
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

// answersWithout reports whether an answer to a prompt without the part has begun since
// a time: engines work, but not for this part.
func (at *Attributor) answersWithout(part ml.PartID, since time.Time) bool {
	return slices.ContainsFunc(at.answers, func(an answer) bool { return an.at.After(since) && !slices.Contains(an.parts, part) })
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
	if len(su.crashes) <= minCrashes {
		su.decisive = at
	}
}
