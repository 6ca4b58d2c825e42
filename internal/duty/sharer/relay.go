package sharer

import (
	"context"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// relayThreshold is the number of other entry VMs from which one entry VM in
	// each failure domain relays messages. In a smaller fleet, messages are sent
	// to all members directly.
	relayThreshold = 12
	// relayDelayPerMember, multiplied by the number of members, is how long
	// messages are collected before they are relayed. The rate of messages to one
	// member then does not grow with the fleet.
	relayDelayPerMember = 300 * time.Microsecond
	// relayLivenessTimeout is the time after its last message when a member is no longer
	// used as a relay.
	relayLivenessTimeout = 1500 * time.Millisecond
	// relayFailureBackoff is how long a member that could not be reached is not
	// used as a relay by this entry VM.
	relayFailureBackoff = 3 * time.Second
	// maxBatchMessages bounds the messages that wait to be relayed. If there are
	// more, the oldest is dropped. The next full state supersedes it.
	maxBatchMessages = 4096
	// storeReaders is the number of entry VMs that wait for changes at the platform's store
	// in a large fleet, and at least one in each failure domain.
	storeReaders = 3
	// firstReaders is the number of entry VMs from which the others learn what has changed in
	// the store.
	firstReaders = 2
)

// batchedMessage is a message that waits to be relayed.
type batchedMessage struct {
	sm         ml.ShareMessage
	receivedAt time.Time
	localOnly  bool // relayed to this failure domain only
}

// findRelay returns the member that relays messages in a failure domain: of those that
// can relay there, the first in the order of precedes. It returns nil if there is none, or
// if this entry VM is the relay. Entry VMs need not agree on the relay, since any
// member relays what it is asked to. The caller must hold sh.mu.
func (sh *Sharer) findRelay(now time.Time, domain ml.DomainID) *member {
	var first *member
	for _, me := range sh.members {
		if me.domain == domain && me.canRelay(now) && (first == nil || me.precedes(first.cores, first.address)) {
			first = me
		}
	}
	if domain == sh.Domain && (first == nil || !first.precedes(sh.Cores, sh.Address) && !sh.Leaving()) {
		return nil
	}
	return first
}

// canRelay reports whether a member can be used as a relay.
func (me *member) canRelay(now time.Time) bool {
	return now.Sub(me.failedAt) > relayFailureBackoff && !me.leaving && me.isHeard(now)
}

// isHeard reports whether a member was heard when it was to be: no later than two of its
// intervals ago.
func (me *member) isHeard(now time.Time) bool {
	return now.Sub(me.lastHeard) < max(relayLivenessTimeout, 2*me.interval)
}

// precedes reports whether a member is a better relay than another entry VM.
// Members with more processor cores come first, since relaying needs CPU time.
func (me *member) precedes(cores float64, address string) bool {
	if me.cores != cores {
		return me.cores > cores
	}
	return me.address < address
}

// usesRelays reports whether the fleet is so large that messages are relayed. The
// caller must hold sh.mu.
func (sh *Sharer) usesRelays() bool { return len(sh.members) >= relayThreshold }

// IsLarge reports whether only some of the entry VMs wait for changes at the platform's store.
func (sh *Sharer) IsLarge() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.usesRelays()
}

// ReadsStore reports whether this entry VM waits for changes at the platform's
// store. In a small fleet all entry VMs do, in a large one some in each failure domain.
func (sh *Sharer) ReadsStore(now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.usesRelays() {
		return true
	}
	domains := map[ml.DomainID]bool{sh.Domain: true}
	for _, me := range sh.members {
		domains[me.domain] = true
	}
	return sh.leadersBefore(now) < (storeReaders+len(domains)-1)/len(domains)
}

// StoreReader returns the address of the member of the own failure domain that waits for
// changes at the platform's store. The second result is false if this entry VM reads the store
// itself, or if there is none.
func (sh *Sharer) StoreReader(now time.Time) (string, bool) {
	if sh.ReadsStore(now) {
		return "", false
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	re := sh.findRelay(now, sh.Domain)
	if re == nil || !re.schedules { // an earlier release can't be asked
		return "", false
	}
	return re.address, true
}

// IsFirst reports whether this entry VM is one of the firstReaders first of all that are
// alive, in the order of precedes.
func (sh *Sharer) IsFirst(now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	n := 0
	for _, me := range sh.members {
		if me.canRelay(now) && me.precedes(sh.Cores, sh.Address) {
			n++
		}
	}
	return n < firstReaders
}

// addToBatch adds a message to the next batch. The caller must hold sh.mu.
func (sh *Sharer) addToBatch(now time.Time, sm ml.ShareMessage, localOnly bool) {
	sm.Relay = false
	if len(sh.batch) >= maxBatchMessages {
		sh.batch = sh.batch[1:]
	}
	sh.batch = append(sh.batch, batchedMessage{sm, now, localOnly})
	notify(sh.batchReady)
}

// relayFor adds what a member asks to relay to the next batch: its own message, for
// all entry VMs, or a batch from another failure domain, for this one.
func (sh *Sharer) relayFor(now time.Time, sm ml.ShareMessage) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if len(sm.Relayed) == 0 {
		sh.addToBatch(now, sm, false)
		return
	}
	for _, other := range sm.Relayed {
		sh.addToBatch(now, other, true)
	}
}

// runRelay relays messages in batches until ctx ends.
func (sh *Sharer) runRelay(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sh.batchReady:
		}
		pacer.Sleep(ctx, sh.batchDelay())
		sh.sendBatch(time.Now())
	}
}

// batchDelay returns how long messages are collected before they are relayed.
func (sh *Sharer) batchDelay() time.Duration {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return max(coalesceDelay, relayDelayPerMember*time.Duration(len(sh.members)))
}

// PropagationDelay returns the estimated mean time until an update has reached all
// entry VMs.
func (sh *Sharer) PropagationDelay() time.Duration {
	sh.mu.Lock()
	large := sh.usesRelays()
	sh.mu.Unlock()
	if !large {
		return coalesceDelay
	}
	return coalesceDelay + 2*sh.batchDelay() // batched in the sender's and in the receiver's domain
}

// sendBatch sends the batch to the members of the own failure domain. Messages that
// originate there also go to the relay of each other domain.
func (sh *Sharer) sendBatch(now time.Time) {
	local, remote := sh.withSender(ml.ShareMessage{}), sh.withSender(ml.ShareMessage{Relay: true})
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, bm := range sh.batch {
		bm.sm.AgeMs += now.Sub(bm.receivedAt).Milliseconds()
		local.Relayed = append(local.Relayed, bm.sm)
		if !bm.localOnly {
			remote.Relayed = append(remote.Relayed, bm.sm)
		}
	}
	sh.batch = nil
	localMessage, remoteMessage := sh.encode(local), sh.encode(remote)
	domains := map[ml.DomainID]bool{sh.Domain: true, "": true}
	for _, me := range sh.members {
		if me.domain == sh.Domain || me.domain == "" {
			sh.enqueue(me, localMessage)
		}
		if domains[me.domain] || len(remote.Relayed) == 0 {
			continue
		}
		domains[me.domain] = true
		if re := sh.findRelay(now, me.domain); re != nil {
			sh.enqueue(re, remoteMessage)
		}
	}
}
