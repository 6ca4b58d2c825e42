// Package lessor decides which entry VM of a failure domain owns an endpoint
// and whether this VM may grant work for it now.
//
// Every member of a domain sends heartbeats to the others. A member counts as
// alive while it was heard within DeadAfter. The owner of an endpoint is the
// alive member that wins the rendezvous hash. A member may grant only while
// every member that it counts as alive has acknowledged a heartbeat it sent
// within the last LeaseTerm, and after it has been the owner for long enough
// that all grants of an earlier owner have ended.
//
// At most one member may grant for an endpoint, as long as messages between
// members of one domain pass in at least one direction: an acknowledging
// member counts the owner as alive for DeadAfter, longer than the
// acknowledgement allows the owner to grant.
package lessor

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
)

// member is what is known of another entry VM of the domain.
type member struct {
	heard   time.Time // last heartbeat from it
	acked   time.Time // when the newest heartbeat that it acknowledged was sent
	leaving bool      // it grants no more work
	hash    uint64    // of its id
}

// Lessor holds one VM's view of its domain. It is not safe for concurrent
// use.
type Lessor struct {
	Self   ml.VMID
	Timing ml.Timing

	members map[ml.VMID]*member
	ticked  time.Time // last heartbeat round
	since   time.Time // since when this VM observes without a gap
	leaving bool
	owned   map[ml.EndpointID]time.Time // since when this VM wins the endpoint

	winners map[ml.EndpointID]ml.VMID // as worked out for one set of members
	among   uint64                    // that set
}

// RecordHeartbeat records a heartbeat from another member.
func (le *Lessor) RecordHeartbeat(now time.Time, from ml.VMID, leaving bool) {
	me := le.member(from)
	me.heard = now
	me.leaving = leaving
}

// RecordAck records that a member acknowledged a heartbeat sent at sent.
func (le *Lessor) RecordAck(by ml.VMID, sent time.Time) {
	me := le.member(by)
	if sent.After(me.acked) {
		me.acked = sent
	}
}

// Leave ends this VM's ownership for good.
func (le *Lessor) Leave() { le.leaving = true }

// Tick must be called at each heartbeat round. After a pause the view is
// stale, so that observation starts anew.
func (le *Lessor) Tick(now time.Time) {
	if le.paused(now) {
		le.since = now
		le.owned = nil
	}
	le.ticked = now
	for id, me := range le.members {
		if now.Sub(me.heard) > 10*le.Timing.DeadAfter {
			delete(le.members, id)
		}
	}
}

// Observing tells whether this VM has watched its domain for long enough to
// know the other members.
func (le *Lessor) Observing(now time.Time) bool {
	return now.Sub(le.since) < le.Timing.DeadAfter+le.Timing.Margin
}

// Owner returns the member that owns ep in this VM's view.
func (le *Lessor) Owner(now time.Time, ep ml.EndpointID) ml.VMID {
	le.refresh(now)
	return le.knownWinner(now, ep)
}

// refresh forgets the winners when the set of contenders has changed.
func (le *Lessor) refresh(now time.Time) {
	if among := le.contenders(now); among != le.among || le.winners == nil {
		le.among, le.winners = among, make(map[ml.EndpointID]ml.VMID)
	}
}

func (le *Lessor) knownWinner(now time.Time, ep ml.EndpointID) ml.VMID {
	winner, known := le.winners[ep]
	if !known {
		winner = le.winner(now, ep)
		le.winners[ep] = winner
	}
	return winner
}

// contenders returns a hash of the set of members that may own endpoints.
func (le *Lessor) contenders(now time.Time) uint64 {
	sum := uint64(0)
	for _, me := range le.members {
		if le.alive(now, me) && !me.leaving {
			sum += me.hash
		}
	}
	if le.leaving {
		sum = ^sum
	}
	return sum
}

// winner works the rendezvous hash out over all contenders.
func (le *Lessor) winner(now time.Time, ep ml.EndpointID) ml.VMID {
	among := make([]ml.VMID, 0, len(le.members)+1)
	if !le.leaving {
		among = append(among, le.Self)
	}
	for id, me := range le.members {
		if le.alive(now, me) && !me.leaving {
			among = append(among, id)
		}
	}
	return RendezvousOwner(among, ep)
}

// UpdateOwnership updates since when this VM owns each of eps. It must be called at
// least once between two heartbeat rounds.
func (le *Lessor) UpdateOwnership(now time.Time, eps []ml.EndpointID) {
	if le.owned == nil {
		le.owned = make(map[ml.EndpointID]time.Time)
	}
	le.refresh(now)
	right := le.hasRight(now)
	for _, ep := range eps {
		_, had := le.owned[ep]
		wins := right && le.knownWinner(now, ep) == le.Self
		if wins && !had {
			le.owned[ep] = now
		}
		if !wins {
			delete(le.owned, ep)
		}
	}
}

// MayGrant tells whether this VM may grant work for ep now.
func (le *Lessor) MayGrant(now time.Time, ep ml.EndpointID) bool {
	since, owned := le.owned[ep]
	if !owned || now.Sub(since) < le.Timing.GrantTerm+le.Timing.Margin {
		return false
	}
	return le.hasRight(now) && le.Owner(now, ep) == le.Self
}

// Alive returns the members alive in this VM's view, itself included, in the
// order of their ids.
func (le *Lessor) Alive(now time.Time) []ml.VMID {
	out := []ml.VMID{le.Self}
	for id, me := range le.members {
		if le.alive(now, me) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (le *Lessor) hasRight(now time.Time) bool {
	if le.leaving || le.paused(now) || le.Observing(now) {
		return false
	}
	for _, me := range le.members {
		if le.alive(now, me) && now.Sub(me.acked) >= le.Timing.LeaseTerm {
			return false
		}
	}
	return true
}

func (le *Lessor) paused(now time.Time) bool {
	return now.Sub(le.ticked) >= le.Timing.LeaseTerm
}

func (le *Lessor) alive(now time.Time, me *member) bool {
	return now.Sub(me.heard) < le.Timing.DeadAfter
}

func (le *Lessor) member(id ml.VMID) *member {
	if le.members == nil {
		le.members = make(map[ml.VMID]*member)
	}
	me := le.members[id]
	if me == nil {
		me = &member{hash: xxhash.Sum64String(string(id))}
		le.members[id] = me
	}
	return me
}

// RendezvousOwner returns the one of some entry VMs that owns ep when all of them are
// alive, or "" when there is none.
func RendezvousOwner(among []ml.VMID, ep ml.EndpointID) ml.VMID {
	best, top := ml.VMID(""), uint64(0)
	for _, id := range among {
		if sc := score(id, ep); best == "" || sc > top || (sc == top && id > best) {
			best, top = id, sc
		}
	}
	return best
}

// score is the rendezvous hash of a member for an endpoint.
func score(vm ml.VMID, ep ml.EndpointID) uint64 {
	di := xxhash.Digest{}
	di.Reset()
	_, _ = di.WriteString(string(vm))
	_, _ = di.WriteString("/")
	_, _ = di.WriteString(string(ep))
	return di.Sum64()
}
