package lessor_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/lessor"
)

// node is one entry VM of the simulated domain.
type node struct {
	id        ml.VMID
	lessor    *lessor.Lessor
	paused    bool
	nextRound time.Time // of heartbeats
}

// message is a heartbeat or an acknowledgement in transit.
type message struct {
	deliverAt time.Time
	from, to  int
	sent      time.Time
	ack       bool
}

// domain simulates the members of one failure domain and the links between
// them.
type domain struct {
	now        time.Time
	nodes      []*node
	cutLinks   map[[2]int]bool // directed links that drop messages
	messages   []message
	timing     ml.Timing
	lastGrants map[ml.EndpointID]grantTime
}

// grantTime is the last time at which a member could grant for an endpoint.
type grantTime struct {
	by ml.VMID
	at time.Time
}

var endpoints = []ml.EndpointID{"a", "b", "c", "d"}

func newDomain(size int) *domain {
	do := &domain{now: time.Unix(1000, 0), cutLinks: make(map[[2]int]bool), timing: ml.DefaultTiming(), lastGrants: make(map[ml.EndpointID]grantTime)}
	for i := range size {
		do.nodes = append(do.nodes, &node{id: ml.VMID(rune('p' + i))})
		do.restart(i)
	}
	return do
}

func (do *domain) restart(i int) {
	do.nodes[i].lessor = &lessor.Lessor{Self: do.nodes[i].id, Timing: do.timing}
	do.nodes[i].paused = false
	do.nodes[i].nextRound = do.now
}

// step advances the time by d, runs the heartbeat rounds that are due and
// delivers messages.
func (do *domain) step(t *rapid.T, d time.Duration) {
	do.now = do.now.Add(d)
	for i, no := range do.nodes {
		if no.paused || do.now.Before(no.nextRound) {
			continue
		}
		no.nextRound = do.now.Add(do.timing.Heartbeat)
		no.lessor.Tick(do.now)
		no.lessor.UpdateOwnership(do.now, endpoints)
		for j := range do.nodes {
			if j != i {
				do.send(t, message{from: i, to: j, sent: do.now})
			}
		}
	}
	do.deliver(t)
}

func (do *domain) send(t *rapid.T, msg message) {
	const maxDelayMs = 60
	if do.cutLinks[[2]int{msg.from, msg.to}] {
		return
	}
	msg.deliverAt = do.now.Add(time.Duration(rapid.IntRange(0, maxDelayMs).Draw(t, "delay")) * time.Millisecond)
	do.messages = append(do.messages, msg)
}

// deliver passes on the messages that have arrived. A paused member reads its
// messages when it resumes.
func (do *domain) deliver(t *rapid.T) {
	waiting := do.messages
	do.messages = nil
	for _, msg := range waiting {
		to := do.nodes[msg.to]
		switch {
		case msg.deliverAt.After(do.now) || to.paused:
			do.messages = append(do.messages, msg)
		case msg.ack:
			to.lessor.RecordAck(do.nodes[msg.from].id, msg.sent)
		default:
			to.lessor.RecordHeartbeat(do.now, do.nodes[msg.from].id, false)
			do.send(t, message{from: msg.to, to: msg.from, sent: msg.sent, ack: true})
		}
	}
}

// grantingMembers returns the members that may grant work for ep.
func (do *domain) grantingMembers(ep ml.EndpointID) []ml.VMID {
	out := []ml.VMID{}
	for _, no := range do.nodes {
		if no.lessor.MayGrant(do.now, ep) {
			out = append(out, no.id)
		}
	}
	return out
}

func (do *domain) checkSingleOwner(t *rapid.T) {
	for _, ep := range endpoints {
		if owners := do.grantingMembers(ep); len(owners) > 1 {
			t.Fatalf("at %v endpoint %s has the owners %v", do.now.Sub(time.Unix(1000, 0)), ep, owners)
		}
	}
}

// checkHandover checks that an owner grants only after the grants of the
// previous owner have expired.
func (do *domain) checkHandover(t *rapid.T) {
	for _, ep := range endpoints {
		for _, no := range do.nodes {
			if no.paused || !no.lessor.MayGrant(do.now, ep) {
				continue
			}
			last := do.lastGrants[ep]
			if last.by != "" && last.by != no.id && do.now.Sub(last.at) < do.timing.GrantTerm {
				t.Fatalf("%s grants for %s %v after %s", no.id, ep, do.now.Sub(last.at), last.by)
			}
			do.lastGrants[ep] = grantTime{no.id, do.now}
		}
	}
}

// injectFault pauses, resumes or restarts a member, or cuts or restores a link.
// Of two opposite links at most one is cut, since the lessor's guarantee
// requires one direction to work.
func (do *domain) injectFault(t *rapid.T) {
	i := rapid.IntRange(0, len(do.nodes)-1).Draw(t, "member")
	j := rapid.IntRange(0, len(do.nodes)-1).Draw(t, "other")
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		do.nodes[i].paused = true
	case 1:
		do.nodes[i].paused = false
	case 2:
		do.restart(i)
	case 3:
		do.cutLinks[[2]int{i, j}] = !do.cutLinks[[2]int{j, i}]
	case 4:
		delete(do.cutLinks, [2]int{i, j})
	}
}

// TestAtMostOneOwner checks that two members may never grant for the same
// endpoint. Members pause, restart and lose links in one direction, in any
// order.
func TestAtMostOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		do := newDomain(rapid.IntRange(2, 4).Draw(t, "members"))
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			do.injectFault(t)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				do.step(t, 40*time.Millisecond)
				do.checkSingleOwner(t)
				do.checkHandover(t)
			}
		}
	})
}

// TestOwnershipRecovers checks that each endpoint has an owner in a domain
// without faults, and that the others take over the endpoints of a dead member.
func TestOwnershipRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		do := newDomain(3)
		settle := func() {
			for range 150 {
				do.step(t, 40*time.Millisecond)
			}
		}
		settle()
		do.nodes[0].paused = rapid.Bool().Draw(t, "dead")
		settle()
		for _, ep := range endpoints {
			if owners := do.grantingMembers(ep); len(owners) != 1 {
				t.Fatalf("endpoint %s has the owners %v", ep, owners)
			}
		}
	})
}
