package sharer

import (
	"context"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// directMost is the number of other entry VMs from which one in each
	// failure domain passes messages on; fewer tell each other directly.
	directMost = 12
	// passMember is how long messages are gathered before they are passed on,
	// for each member, so that the number of messages to one member does not
	// grow with the fleet.
	passMember = 500 * time.Microsecond
	// relayHeard is the time without news after which a member no longer passes
	// messages on for others.
	relayHeard = 1500 * time.Millisecond
	// batchMost bounds the messages that wait to be passed on; the oldest is
	// dropped, since the next whole one makes up for it.
	batchMost = 4096
)

// passed is a message that waits to be passed on.
type passed struct {
	ms ml.Shared
	at time.Time // when it came
}

// relay returns the member that passes this entry VM's messages on: the first by
// address of those heard in its failure domain. It returns nil when that is this
// entry VM itself. No agreement is needed: whoever is asked to pass a message on
// does so. It needs the lock.
func (sh *Sharer) relay(now time.Time) *member {
	var first *member
	for _, me := range sh.members {
		if me.domain != sh.Domain || !me.relays(now) {
			continue
		}
		if first == nil || me.address < first.address {
			first = me
		}
	}
	if first == nil || sh.Address < first.address && !sh.Leaving() {
		return nil
	}
	return first
}

// relays tells whether a member can pass messages on.
func (me *member) relays(now time.Time) bool {
	return me.reached && !me.leaving && now.Sub(me.heard) < relayHeard
}

// pass puts a message into the next batch. It needs the lock.
func (sh *Sharer) pass(now time.Time, ms ml.Shared) {
	ms.PassOn = false
	if len(sh.batch) >= batchMost {
		sh.batch = sh.batch[1:]
	}
	sh.batch = append(sh.batch, passed{ms, now})
	wake(sh.batched)
}

// runPassOn passes messages on, many at once, until ctx ends.
func (sh *Sharer) runPassOn(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sh.batched:
		}
		pacer.Sleep(ctx, sh.passTime())
		sh.passBatch(time.Now())
	}
}

// passTime returns how long messages are gathered before they are passed on.
func (sh *Sharer) passTime() time.Duration {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return max(gather, passMember*time.Duration(len(sh.members)))
}

func (sh *Sharer) passBatch(now time.Time) {
	ms := sh.sign(ml.Shared{})
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, pa := range sh.batch {
		pa.ms.AgeMs = now.Sub(pa.at).Milliseconds()
		ms.Passed = append(ms.Passed, pa.ms)
	}
	sh.batch = nil
	sh.tellAll(ms)
}
