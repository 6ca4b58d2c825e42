// Package lessor decides which entry VM of a failure domain owns an endpoint
// and whether this VM may grant work for it now.
//
// Every member of a domain sends heartbeats to the others. A member counts as
// alive while a heartbeat from it was received within DeadAfter. The owner of an
// endpoint is the alive member with the highest rendezvous hash. A member may
// grant only while every member that it counts as alive has acknowledged a
// heartbeat that it sent within the last LeaseTerm. It must also have been the
// owner for long enough that all grants of an earlier owner have ended.
//
// At most one member may grant for an endpoint, as long as messages between
// members of one domain pass in at least one direction. The reason is that an
// acknowledging member counts the owner as alive for DeadAfter, which is longer
// than the acknowledgement allows the owner to grant.
package lessor

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
)

// member is another entry VM of the domain.
type member struct {
	heardAt     time.Time // when its last heartbeat was received
	ackedSentAt time.Time // when the newest heartbeat that it acknowledged was sent
	leaving     bool      // it grants no more work
	idHash      uint64
}

// Lessor holds one VM's view of the members of its domain. It is not safe for
// concurrent use.
type Lessor struct {
	Self   ml.VMID
	Timing ml.Timing

	members       map[ml.VMID]*member
	lastTick      time.Time // last heartbeat round
	observedSince time.Time // start of observation, or its restart after the last pause
	leaving       bool
	ownedSince    map[ml.EndpointID]time.Time // start of this VM's ownership, with a valid lease

	owners        map[ml.EndpointID]ml.VMID // cache for the current contenders
	contenderHash uint64                    // hash of the contenders that the cache is for
}

// RecordHeartbeat records a received heartbeat.
func (le *Lessor) RecordHeartbeat(now time.Time, from ml.VMID, leaving bool) {
	me := le.member(from)
	me.heardAt = now
	me.leaving = leaving
}

// RecordAck records that a member acknowledged a heartbeat sent at sent.
func (le *Lessor) RecordAck(by ml.VMID, sent time.Time) {
	me := le.member(by)
	if sent.After(me.ackedSentAt) {
		me.ackedSentAt = sent
	}
}

// Leave ends this VM's ownership for good.
func (le *Lessor) Leave() { le.leaving = true }

// Tick must be called at each heartbeat round. After a pause the view is stale,
// so observation restarts and this VM's ownership ends.
func (le *Lessor) Tick(now time.Time) {
	if le.paused(now) {
		le.observedSince = now
		le.ownedSince = nil
	}
	le.lastTick = now
	for id, me := range le.members {
		if now.Sub(me.heardAt) > 10*le.Timing.DeadAfter {
			delete(le.members, id)
		}
	}
}

// Observing reports whether this VM has not yet observed its domain for long
// enough to know the other members.
func (le *Lessor) Observing(now time.Time) bool {
	return now.Sub(le.observedSince) < le.Timing.DeadAfter+le.Timing.Margin
}

// Owner returns the member that owns ep in this VM's view.
func (le *Lessor) Owner(now time.Time, ep ml.EndpointID) ml.VMID {
	le.refreshOwners(now)
	return le.cachedOwner(now, ep)
}

// refreshOwners clears the cache when the set of contenders has changed.
func (le *Lessor) refreshOwners(now time.Time) {
	if hash := le.hashContenders(now); hash != le.contenderHash || le.owners == nil {
		le.contenderHash, le.owners = hash, make(map[ml.EndpointID]ml.VMID)
	}
}

func (le *Lessor) cachedOwner(now time.Time, ep ml.EndpointID) ml.VMID {
	owner, known := le.owners[ep]
	if !known {
		owner = le.computeOwner(now, ep)
		le.owners[ep] = owner
	}
	return owner
}

// hashContenders returns a hash of the set of members that may own endpoints.
func (le *Lessor) hashContenders(now time.Time) uint64 {
	sum := uint64(0)
	for _, me := range le.members {
		if le.alive(now, me) && !me.leaving {
			sum += me.idHash
		}
	}
	if le.leaving {
		sum = ^sum
	}
	return sum
}

// computeOwner computes the owner among the current contenders.
func (le *Lessor) computeOwner(now time.Time, ep ml.EndpointID) ml.VMID {
	contenders := make([]ml.VMID, 0, len(le.members)+1)
	if !le.leaving {
		contenders = append(contenders, le.Self)
	}
	for id, me := range le.members {
		if le.alive(now, me) && !me.leaving {
			contenders = append(contenders, id)
		}
	}
	return RendezvousOwner(contenders, ep)
}

// UpdateOwnership updates which of eps this VM owns, and since when. It must be
// called at least once between two heartbeat rounds.
func (le *Lessor) UpdateOwnership(now time.Time, eps []ml.EndpointID) {
	if le.ownedSince == nil {
		le.ownedSince = make(map[ml.EndpointID]time.Time)
	}
	le.refreshOwners(now)
	leased := le.hasLease(now)
	for _, ep := range eps {
		_, wasOwner := le.ownedSince[ep]
		owns := leased && le.cachedOwner(now, ep) == le.Self
		if owns && !wasOwner {
			le.ownedSince[ep] = now
		}
		if !owns {
			delete(le.ownedSince, ep)
		}
	}
}

// MayGrant reports whether this VM may grant work for ep now.
func (le *Lessor) MayGrant(now time.Time, ep ml.EndpointID) bool {
	since, owned := le.ownedSince[ep]
	if !owned || now.Sub(since) < le.Timing.GrantTerm+le.Timing.Margin {
		return false
	}
	return le.hasLease(now) && le.Owner(now, ep) == le.Self
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

// hasLease reports whether this VM may own endpoints at all. All alive members
// must have acknowledged one of its heartbeats within LeaseTerm, and it must not
// be leaving, paused or still observing.
func (le *Lessor) hasLease(now time.Time) bool {
	if le.leaving || le.paused(now) || le.Observing(now) {
		return false
	}
	for _, me := range le.members {
		if le.alive(now, me) && now.Sub(me.ackedSentAt) >= le.Timing.LeaseTerm {
			return false
		}
	}
	return true
}

// paused reports whether the last heartbeat round is at least LeaseTerm ago.
func (le *Lessor) paused(now time.Time) bool {
	return now.Sub(le.lastTick) >= le.Timing.LeaseTerm
}

func (le *Lessor) alive(now time.Time, me *member) bool {
	return now.Sub(me.heardAt) < le.Timing.DeadAfter
}

func (le *Lessor) member(id ml.VMID) *member {
	if le.members == nil {
		le.members = make(map[ml.VMID]*member)
	}
	me := le.members[id]
	if me == nil {
		me = &member{idHash: xxhash.Sum64String(string(id))}
		le.members[id] = me
	}
	return me
}

// RendezvousOwner returns the one of vms with the highest rendezvous hash for
// ep, or "" when vms is empty.
func RendezvousOwner(vms []ml.VMID, ep ml.EndpointID) ml.VMID {
	owner, topScore := ml.VMID(""), uint64(0)
	for _, id := range vms {
		if sc := score(id, ep); owner == "" || sc > topScore || (sc == topScore && id > owner) {
			owner, topScore = id, sc
		}
	}
	return owner
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
