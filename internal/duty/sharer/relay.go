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
	passMember = 300 * time.Microsecond
	// relayHeard is the time without news after which a member no longer passes
	// messages on for others.
	relayHeard = 1500 * time.Millisecond
	// relayFailed is the time for which a member that could not be reached does not
	// pass messages on for this entry VM.
	relayFailed = 3 * time.Second
	// batchMost bounds the messages that wait to be passed on; the oldest is
	// dropped, since the next whole one makes up for it.
	batchMost = 4096
	// readersMost is the number of entry VMs of a failure domain that wait at the
	// platform's store for news in a large fleet.
	readersMost = 2
)

// passed is a message that waits to be passed on.
type passed struct {
	ms     ml.ShareMessage
	at     time.Time // when it came
	within bool      // to this failure domain only
}

// relay returns the member that passes messages on in a failure domain: the
// first of those heard there. It returns nil when there is none, or when it is
// this entry VM itself. No agreement is needed: whoever is asked to pass a
// message on does so. It needs the lock.
func (sh *Sharer) relay(now time.Time, domain ml.DomainID) *member {
	var first *member
	for _, me := range sh.members {
		if me.domain == domain && me.relays(now) && (first == nil || me.before(first.cores, first.address)) {
			first = me
		}
	}
	if domain == sh.Domain && (first == nil || !first.before(sh.Cores, sh.Address) && !sh.Leaving()) {
		return nil
	}
	return first
}

// relays tells whether a member can pass messages on.
func (me *member) relays(now time.Time) bool {
	return now.Sub(me.failed) > relayFailed && !me.leaving && now.Sub(me.heard) < relayHeard
}

// before tells whether a member goes before an entry VM: the one with more of a
// processor, since passing on is work.
func (me *member) before(cores float64, address string) bool {
	if me.cores != cores {
		return me.cores > cores
	}
	return me.address < address
}

// large tells whether messages are passed on. It needs the lock.
func (sh *Sharer) large() bool { return len(sh.members) >= directMost }

// ReadsStore tells whether this entry VM waits at the platform's store for news: all
// do in a small fleet, some of each failure domain in a large one.
func (sh *Sharer) ReadsStore(now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.large() {
		return true
	}
	n := 0
	for _, me := range sh.members {
		if me.domain == sh.Domain && me.relays(now) && me.before(sh.Cores, sh.Address) {
			n++
		}
	}
	return n < readersMost
}

// pass puts a message into the next batch. It needs the lock.
func (sh *Sharer) pass(now time.Time, ms ml.ShareMessage, within bool) {
	ms.Relay = false
	if len(sh.batch) >= batchMost {
		sh.batch = sh.batch[1:]
	}
	sh.batch = append(sh.batch, passed{ms, now, within})
	wake(sh.batched)
}

// passAsked puts what a member has asked to pass on into the next batch: its own
// message for all, or those of another failure domain for this one.
func (sh *Sharer) passAsked(now time.Time, ms ml.ShareMessage) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if len(ms.Relayed) == 0 {
		sh.pass(now, ms, false)
		return
	}
	for _, other := range ms.Relayed {
		sh.pass(now, other, true)
	}
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

// PropagationDelay returns how long news takes to all entry VMs, as a mean.
func (sh *Sharer) PropagationDelay() time.Duration {
	sh.mu.Lock()
	large := sh.large()
	sh.mu.Unlock()
	if !large {
		return gather
	}
	return gather + 2*sh.passTime() // in two domains, each a part on the way
}

// passBatch sends the batch to the members of the own failure domain, and what
// has come from there to one member of each other domain.
func (sh *Sharer) passBatch(now time.Time) {
	near, far := sh.sign(ml.ShareMessage{}), sh.sign(ml.ShareMessage{Relay: true})
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, pa := range sh.batch {
		pa.ms.AgeMs += now.Sub(pa.at).Milliseconds()
		near.Relayed = append(near.Relayed, pa.ms)
		if !pa.within {
			far.Relayed = append(far.Relayed, pa.ms)
		}
	}
	sh.batch = nil
	nearParcel, farParcel := sh.pack(near), sh.pack(far)
	domains := map[ml.DomainID]bool{sh.Domain: true, "": true}
	for _, me := range sh.members {
		if me.domain == sh.Domain || me.domain == "" {
			me.put(nearParcel)
		}
		if domains[me.domain] || len(far.Relayed) == 0 {
			continue
		}
		domains[me.domain] = true
		if re := sh.relay(now, me.domain); re != nil {
			re.put(farParcel)
		}
	}
}
