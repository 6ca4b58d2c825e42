package sharer

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

const (
	// maxScheduledMembers is the number of other entry VMs up to which one of them places the
	// requests of all. In a larger fleet, one in each failure domain does it.
	maxScheduledMembers = 256
	// numLeaders is the number of entry VMs in each failure domain whose silence the others
	// must notice soon, since they read the store, relay or schedule.
	numLeaders = 3
	// maxHeartbeatTicks bounds the number of periodic messages of which, in a large fleet, an
	// entry VM that is no leader sends one to all others.
	maxHeartbeatTicks = 8
	// newcomerTime is how long an entry VM that has started sends all periodic messages, so
	// that the others know it when it begins to use its share of each limit.
	newcomerTime = 10 * time.Second
)

// Scheduler returns the address of the entry VM that places the requests of this one, and
// whether that is this one itself. In a large fleet that is one for all, the first in the
// order of precedes of those that are alive; while it can't be reached from here, or if the
// fleet is larger than that one can serve, the first of the own failure domain. Entry VMs
// need not agree: a scheduler only knows less of what others have placed. The address is
// empty in a small fleet, and if no entry VM that is reached schedules.
func (sh *Sharer) Scheduler(now time.Time) (address string, isSelf bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.Schedules || !sh.usesRelays() {
		return "", false
	}
	if len(sh.members) <= maxScheduledMembers {
		first := sh.firstScheduler(now, "")
		if first == nil {
			return sh.Address, true
		}
		if now.Sub(first.failedAt) > relayFailureBackoff {
			return first.address, false
		}
	}
	if first := sh.firstScheduler(now, sh.Domain); first != nil && now.Sub(first.failedAt) > relayFailureBackoff {
		return first.address, false
	}
	return sh.Address, true
}

// firstScheduler returns the first member that schedules, of a failure domain or, if that is
// empty, of all. It returns nil if this entry VM comes before it, or if there is none. The
// caller must hold sh.mu.
func (sh *Sharer) firstScheduler(now time.Time, domain ml.DomainID) *member {
	var first *member
	for _, me := range sh.members {
		if me.schedules && !me.leaving && me.isHeard(now) && (domain == "" || me.domain == domain) && (first == nil || me.precedes(first.cores, first.address)) {
			first = me
		}
	}
	if first != nil && !first.precedes(sh.Cores, sh.Address) && !sh.Leaving() {
		return nil
	}
	return first
}

// SchedulerFailed records that the scheduler at an address did not reply.
func (sh *Sharer) SchedulerFailed(address string, err error) {
	sh.mu.Lock()
	me := sh.members[address]
	if me != nil {
		me.failedAt = time.Now()
	}
	sh.mu.Unlock()
	if me != nil {
		sh.Log.Info("scheduler", "address", address, "reached", false, "error", err)
	}
	sh.Signal()
}

// report sends what has changed of the requests of this entry VM to its scheduler, and
// returns the changes that are for all. A scheduler that doesn't know the requests yet gets
// all of them.
func (sh *Sharer) report(now time.Time, address string, isSelf bool, changes ml.ShareMessage) ml.ShareMessage {
	report := ml.ShareMessage{Flights: changes.Flights, Waiting: changes.Waiting, Started: changes.Started, Ended: changes.Ended, Withdrawn: changes.Withdrawn, FailedRuns: changes.FailedRuns}
	changes.Flights, changes.Waiting, changes.Started, changes.Ended, changes.Withdrawn, changes.FailedRuns = nil, nil, nil, nil, nil, nil
	changes.Scheduled = true
	if sh.reportsTo != address {
		sh.Log.Info("scheduler", "address", address, "self", isSelf, "before", sh.reportsTo)
		sh.reportsTo = address
		before := report
		report = requestsIn(sh.Tracker.Snapshot(now))
		report.Withdrawn, report.FailedRuns = before.Withdrawn, before.FailedRuns
	}
	if !isSelf && (report.Full || hasRequests(&report)) {
		sh.sendTo(address, report)
	}
	return changes
}

// reportState sends all requests of this entry VM to the scheduler, so that it goes on counting
// them.
func (sh *Sharer) reportState(now time.Time) {
	address, isSelf := sh.Scheduler(now)
	if address == "" || isSelf {
		return
	}
	if report := requestsIn(sh.Tracker.Snapshot(now)); hasRequests(&report) {
		sh.sendTo(address, report)
	}
}

// requestsIn returns the part of a snapshot that is for a scheduler.
func requestsIn(sm ml.ShareMessage) ml.ShareMessage {
	return ml.ShareMessage{Full: true, Flights: sm.Flights, Waiting: sm.Waiting}
}

// hasRequests reports whether a message for a scheduler says anything.
func hasRequests(sm *ml.ShareMessage) bool {
	return len(sm.Flights)+len(sm.Waiting)+len(sm.Started)+len(sm.Ended)+len(sm.Withdrawn)+len(sm.FailedRuns) > 0
}

// isNews reports whether a message holds changes that are for all entry VMs.
func isNews(sm *ml.ShareMessage) bool {
	return len(sm.Failed)+len(sm.Crashes)+len(sm.Cleared)+len(sm.Blocked)+len(sm.Limits)+len(sm.Departures) > 0
}

// sendTo sends a message to the member at an address.
func (sh *Sharer) sendTo(address string, sm ml.ShareMessage) {
	om := sh.encode(sh.withSender(sm))
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if me := sh.members[address]; me != nil {
		sh.enqueue(me, om)
	}
}

// applyReport applies what another entry VM reports to this one as its scheduler.
func (sh *Sharer) applyReport(now time.Time, sm ml.ShareMessage, answered []ml.EndpointID) {
	if sh.OnReport != nil && sm.Schedules && len(answered)+len(sm.FailedRuns) > 0 {
		sh.OnReport(now, answered, sm.FailedRuns)
	}
	if sh.OnWithdrawn != nil && len(sm.Withdrawn) > 0 {
		sh.OnWithdrawn(sm.From, sm.Withdrawn)
	}
}

// heartbeatTicks returns the number of periodic messages of which this entry VM sends one to
// all others, each an interval after the one before. In a large fleet the others need to
// hear only of the leaders often.
func (sh *Sharer) heartbeatTicks(now time.Time, interval time.Duration) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.Schedules || !sh.usesRelays() || now.Sub(sh.inTouchSince) < newcomerTime || sh.leadersBefore(now) < numLeaders {
		return 1
	}
	rounds := stateIntervalPerMember * time.Duration(len(sh.members)) / interval
	return min(max(int(rounds), 1), maxHeartbeatTicks)
}

// leadersBefore returns the number of members of the own failure domain that can relay and
// come before this entry VM. The caller must hold sh.mu.
func (sh *Sharer) leadersBefore(now time.Time) int {
	n := 0
	for _, me := range sh.members {
		if me.domain == sh.Domain && me.canRelay(now) && me.precedes(sh.Cores, sh.Address) {
			n++
		}
	}
	return n
}
