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
	id     ml.VMID
	lessor *lessor.Lessor
	paused bool
	due    time.Time // next heartbeat round
}

// letter is a message under way.
type letter struct {
	at       time.Time
	from, to int
	sent     time.Time
	ack      bool
}

// domain simulates the members of one failure domain and the links between
// them.
type domain struct {
	now     time.Time
	nodes   []*node
	cut     map[[2]int]bool // directed links that carry nothing
	letters []letter
	timing  ml.Timing
	granted map[ml.EndpointID]grantTime
}

// grantTime is when an endpoint's owner could last grant.
type grantTime struct {
	by ml.VMID
	at time.Time
}

var endpoints = []ml.EndpointID{"a", "b", "c", "d"}

func newDomain(size int) *domain {
	do := &domain{now: time.Unix(1000, 0), cut: make(map[[2]int]bool), timing: ml.DefaultTiming(), granted: make(map[ml.EndpointID]grantTime)}
	for i := range size {
		do.nodes = append(do.nodes, &node{id: ml.VMID(rune('p' + i))})
		do.restart(i)
	}
	return do
}

func (do *domain) restart(i int) {
	do.nodes[i].lessor = &lessor.Lessor{Self: do.nodes[i].id, Timing: do.timing}
	do.nodes[i].paused = false
	do.nodes[i].due = do.now
}

// step advances the time by d and lets everything due happen.
func (do *domain) step(t *rapid.T, d time.Duration) {
	do.now = do.now.Add(d)
	for i, no := range do.nodes {
		if no.paused || do.now.Before(no.due) {
			continue
		}
		no.due = do.now.Add(do.timing.Heartbeat)
		no.lessor.Tick(do.now)
		no.lessor.UpdateOwnership(do.now, endpoints)
		for j := range do.nodes {
			if j != i {
				do.send(t, letter{from: i, to: j, sent: do.now})
			}
		}
	}
	do.deliver(t)
}

func (do *domain) send(t *rapid.T, le letter) {
	const slowest = 60
	if do.cut[[2]int{le.from, le.to}] {
		return
	}
	le.at = do.now.Add(time.Duration(rapid.IntRange(0, slowest).Draw(t, "delay")) * time.Millisecond)
	do.letters = append(do.letters, le)
}

// deliver hands over what has arrived. A paused member reads it when it
// resumes.
func (do *domain) deliver(t *rapid.T) {
	waiting := do.letters
	do.letters = nil
	for _, le := range waiting {
		to := do.nodes[le.to]
		switch {
		case le.at.After(do.now) || to.paused:
			do.letters = append(do.letters, le)
		case le.ack:
			to.lessor.RecordAck(do.nodes[le.from].id, le.sent)
		default:
			to.lessor.RecordHeartbeat(do.now, do.nodes[le.from].id, false)
			do.send(t, letter{from: le.to, to: le.from, sent: le.sent, ack: true})
		}
	}
}

// granting returns the members that may grant work for ep.
func (do *domain) granting(ep ml.EndpointID) []ml.VMID {
	out := []ml.VMID{}
	for _, no := range do.nodes {
		if no.lessor.MayGrant(do.now, ep) {
			out = append(out, no.id)
		}
	}
	return out
}

func (do *domain) checkSingle(t *rapid.T) {
	for _, ep := range endpoints {
		if gr := do.granting(ep); len(gr) > 1 {
			t.Fatalf("at %v endpoint %s has the owners %v", do.now.Sub(time.Unix(1000, 0)), ep, gr)
		}
	}
}

// checkHandover checks that an owner grants only after the grants of the one
// before it have run out.
func (do *domain) checkHandover(t *rapid.T) {
	for _, ep := range endpoints {
		for _, no := range do.nodes {
			if no.paused || !no.lessor.MayGrant(do.now, ep) {
				continue
			}
			last := do.granted[ep]
			if last.by != "" && last.by != no.id && do.now.Sub(last.at) < do.timing.GrantTerm {
				t.Fatalf("%s grants for %s %v after %s", no.id, ep, do.now.Sub(last.at), last.by)
			}
			do.granted[ep] = grantTime{no.id, do.now}
		}
	}
}

// disturb pauses, resumes or restarts a member or cuts or mends a link. Of two
// opposite links at most one is cut.
func (do *domain) disturb(t *rapid.T) {
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
		do.cut[[2]int{i, j}] = !do.cut[[2]int{j, i}]
	case 4:
		delete(do.cut, [2]int{i, j})
	}
}

// TestOneOwner lets members pause, restart and lose links in one direction, in
// any order, and checks that never two may grant for one endpoint.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		do := newDomain(rapid.IntRange(2, 4).Draw(t, "members"))
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			do.disturb(t)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				do.step(t, 40*time.Millisecond)
				do.checkSingle(t)
				do.checkHandover(t)
			}
		}
	})
}

// TestOwnerComesBack checks that an undisturbed domain grants work for every
// endpoint, and that the others take over from a dead member.
func TestOwnerComesBack(t *testing.T) {
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
			if gr := do.granting(ep); len(gr) != 1 {
				t.Fatalf("endpoint %s has the owners %v", ep, gr)
			}
		}
	})
}
