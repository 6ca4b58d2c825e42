package attributor

import (
	"maps"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// minRequestCrashes is the number of successive crashes for which a request is
	// blocked if no other engine has crashed meanwhile or within aloneTime before, and
	// no other suspect request was at these engines.
	minRequestCrashes = 2
	aloneTime         = 5 * time.Second
	// repeatedCrashes is the number of successive crashes for which a request is blocked
	// however many other engines crash, unless others that are blocked account for them.
	repeatedCrashes = 3
	// A request with a blocked part of its prompt is sent as a trial after
	// minPartInterval, and after partIntervalFactor times that with each further trial,
	// up to maxPartInterval. Each trial may end an engine.
	minPartInterval, maxPartInterval = time.Minute, time.Hour
	partIntervalFactor               = 2
	// The same for a request that is blocked as a whole. It is tried sooner, since two
	// crashes may be chance, and then seldom.
	minRequestInterval, maxRequestInterval = 15 * time.Second, 24 * time.Hour
	requestIntervalFactor                  = 4
)

// trialInterval returns the time until the next trial of a blocked part.
func trialInterval(part ml.PartID, trials int) time.Duration {
	interval, longest, factor := minPartInterval, maxPartInterval, time.Duration(partIntervalFactor)
	if part.IsWhole() {
		interval, longest, factor = minRequestInterval, maxRequestInterval, requestIntervalFactor
	}
	for range trials {
		interval = min(factor*interval, longest)
	}
	return interval
}

// wholeOf returns the id of the request as a whole, or an empty one if it is not known.
func wholeOf(parts []ml.PartID) ml.PartID {
	at := slices.IndexFunc(parts, ml.PartID.IsWhole)
	if at < 0 {
		return ""
	}
	return parts[at]
}

// explain drops the suspects of a crash that a blocked part clears. A part of prompts
// clears all others. A request clears the parts of other requests, but no other request,
// since several may crash engines at the same time.
func (cr *crash) explain(cause ml.PartID) {
	own := cr.requests[cause]
	maps.DeleteFunc(cr.sentAt, func(part ml.PartID, _ time.Time) bool {
		isKept := part == cause || cause.IsWhole() && (part.IsWhole() || slices.Contains(own, part))
		return !isKept
	})
}

// suspectsOf returns the parts of a request at an engine that crashed that are suspect:
// if some are blocked, those; if another request explains the crash, the request itself;
// else all.
func (at *Attributor) suspectsOf(cr *crash, parts []ml.PartID) []ml.PartID {
	whole, causes := wholeOf(parts), []ml.PartID{}
	for _, part := range parts {
		if at.isBlocked(part) {
			cr.explain(part)
		}
		if at.isBlocked(part) && !part.IsWhole() {
			causes = append(causes, part)
		}
	}
	switch {
	case len(causes) > 0:
		return causes
	case at.isExplained(cr):
		return nil
	case whole != "" && !at.isBlocked(whole) && at.hasBlockedRequest(cr):
		return []ml.PartID{whole}
	}
	return parts
}

// hasBlockedRequest reports whether a request that is blocked was at the engine that
// crashed.
func (at *Attributor) hasBlockedRequest(cr *crash) bool {
	for part := range cr.sentAt {
		if part.IsWhole() && at.isBlocked(part) {
			return true
		}
	}
	return false
}

// guiltyRequests returns the requests to block, several since they may crash engines at the
// same time. One that this entry VM has seen answered before needs more crashes, and is not
// blocked if the others account for all of them: one that is sent often is at many engines
// that crash, and may do so with some prompts only.
func (at *Attributor) guiltyRequests(now time.Time, reported []suspect) []suspect {
	out, answered := []suspect{}, []suspect{}
	for _, su := range reported {
		switch {
		case !su.part.IsWhole() || !at.isGuiltyRequest(now, &su):
		case at.begun[su.part].IsZero():
			out = append(out, su)
		case su.successive >= certainSuccessiveCrashes:
			answered = append(answered, su)
		}
	}
	for _, su := range answered {
		if !at.isCovered(&su, out) {
			out = append(out, su)
		}
	}
	return out
}

// isCovered reports whether a blocked request, or one of those to be blocked, was at each
// engine that crashed under another one.
func (at *Attributor) isCovered(su *suspect, blocked []suspect) bool {
	return !slices.ContainsFunc(su.crashes, func(id crashID) bool {
		for part := range at.crashes[id].sentAt {
			isChosen := func(other suspect) bool { return other.part == part }
			if part != su.part && part.IsWhole() && (at.isBlocked(part) || slices.ContainsFunc(blocked, isChosen)) {
				return false
			}
		}
		return true
	})
}

// aloneCount returns the number of crashes at which a request was the only suspect one.
func (at *Attributor) aloneCount(su *suspect) int {
	n := 0
	for _, id := range su.crashes {
		if at.crashes[id].requestCount() == 1 {
			n++
		}
	}
	return n
}

// requestCount returns the number of suspect requests.
func (cr *crash) requestCount() int {
	n := 0
	for part := range cr.sentAt {
		if part.IsWhole() {
			n++
		}
	}
	return n
}

// isGuiltyRequest reports whether crashes are attributed to a request.
func (at *Attributor) isGuiltyRequest(now time.Time, su *suspect) bool {
	if !slices.ContainsFunc(su.crashes, func(id crashID) bool { return at.crashes[id].isWitnessed }) {
		return false
	}
	if su.successive >= repeatedCrashes {
		return true
	}
	if at.unexplainedCrashes(su.first.Add(-aloneTime), su.last) > len(su.crashes) || at.aloneCount(su) < len(su.crashes) {
		return false
	}
	if su.successive >= minRequestCrashes && at.answersWithout(su.part, su.first) {
		return true
	}
	return len(su.crashes) >= repeatedCrashes && now.Sub(su.decisive) >= quietTime && at.answersWithout(su.part, su.decisive)
}

// isOneRequest reports whether a single request, of which this entry VM has seen no answer,
// was at all engines that crashed under a part of prompts.
func (at *Attributor) isOneRequest(su *suspect) bool {
	for whole := range at.crashes[su.crashes[0]].sentAt {
		isElsewhere := func(id crashID) bool { return at.crashes[id].sentAt[whole].IsZero() }
		if whole.IsWhole() && at.begun[whole].IsZero() && !slices.ContainsFunc(su.crashes, isElsewhere) {
			return true
		}
	}
	return false
}
