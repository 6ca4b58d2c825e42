package sharer

import (
	"context"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// sendQueueSize bounds the messages that wait for one member. If the queue is
	// full, the oldest is dropped. The next full state supersedes it.
	sendQueueSize = 64
	// memberTimeout is how long a member is kept after its last message, or after
	// it was added.
	memberTimeout = 20 * time.Second
	// memberRetryDelay is the wait after a message could not be sent to a member.
	memberRetryDelay = time.Second
	// shareRetention is how long a member that was dropped still has its share of each
	// limit: it may only be cut off from this entry VM.
	shareRetention = 5 * time.Minute
	// settleTime is how long an entry VM is in touch before it counts on its view of
	// the membership: several periodic messages of all members.
	settleTime = 3 * time.Second
	// maxTickPause is the time between two periodic messages from which the process
	// counts as having been frozen.
	maxTickPause = 5 * time.Second
	// ackInterval is the time between two messages that a member must
	// acknowledge. It bounds how long a connection that lost its peer without
	// an error goes unnoticed.
	ackInterval = time.Second
)

// outgoingMessage is an encoded message to one or more members.
type outgoingMessage struct {
	body     ml.EncodedMessage
	needsAck bool // the receiver must acknowledge it
}

// encode encodes a message. If that fails, it logs the error and returns an empty
// message, which is not sent.
func (sh *Sharer) encode(sm ml.ShareMessage) outgoingMessage {
	body, err := sh.Peers.Pack(sm)
	if err != nil {
		sh.Log.Error("message to peers not encoded", "error", err)
	}
	return outgoingMessage{body, len(sm.KnownAddresses) > 0}
}

// member is another entry VM.
type member struct {
	address        string
	domain         ml.DomainID // empty before its first message
	sendQueue      chan outgoingMessage
	addedAt        time.Time
	lastHeard      time.Time // when its newest message arrived
	leaving        bool
	version        ml.Version       // of the configuration in force there; 0 if it doesn't say
	cut            []ml.ServiceName // to which it has lost all paths
	cores          float64
	schedules      bool          // places requests of other entry VMs
	interval       time.Duration // the longest time until its next message
	reachable      bool
	failedAt       time.Time // when a message could not be sent; zero after a success
	lastAckRequest time.Time // when it was last sent a message to acknowledge; used by runMember only
	stop           context.CancelFunc
}

// AddMember adds a member by its address, as found in the platform's store, unless
// it is already known.
func (sh *Sharer) AddMember(ctx context.Context, address string) {
	if address == "" || address == sh.Address {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.members[address] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	me := &member{address: address, sendQueue: make(chan outgoingMessage, sendQueueSize), addedAt: time.Now(), stop: cancel}
	sh.members[address] = me
	delete(sh.dropped, address)
	sh.membersVersion++
	go sh.runMember(ctx, me)
}

func (sh *Sharer) addMembers(addresses []string) {
	for _, address := range addresses {
		sh.AddMember(context.Background(), address)
	}
}

// updateMember updates a member from a message that it sent.
func (sh *Sharer) updateMember(now time.Time, sm ml.ShareMessage) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if me := sh.members[sm.Address]; me != nil {
		if me.domain != sm.Domain {
			sh.membersVersion++
		}
		me.lastHeard, me.domain, me.cores, me.leaving, me.cut, me.version = now, sm.Domain, sm.Cores, sm.Leaving, sm.Cut, sm.Version
		me.schedules = sm.Schedules
		if sm.IntervalMs > 0 {
			me.interval = time.Duration(sm.IntervalMs) * time.Millisecond
		}
	}
}

// liveAddresses returns the addresses of the members heard from within memberTimeout.
func (sh *Sharer) liveAddresses(now time.Time) []string {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	out := []string{}
	for _, me := range sh.members {
		if now.Sub(me.lastHeard) < memberTimeout {
			out = append(out, me.address)
		}
	}
	slices.Sort(out)
	return out
}

// Membership returns this entry VM's view of its failure domain. A member counts until
// shareRetention after it was dropped, so that one that is only cut off or frozen keeps
// its share of each limit.
func (sh *Sharer) Membership(now time.Time) ml.Membership {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.membership.Version != sh.membersVersion || sh.membership.Self == "" {
		sh.membership = ml.Membership{Version: sh.membersVersion, Self: sh.Address}
		for address, me := range sh.members {
			if me.domain == sh.Domain || me.domain == "" {
				sh.membership.Peers = append(sh.membership.Peers, address)
			}
		}
		for address := range sh.dropped {
			sh.membership.Peers = append(sh.membership.Peers, address)
		}
	}
	out := sh.membership
	out.Settled = !sh.inTouchSince.IsZero() && now.Sub(sh.inTouchSince) >= settleTime
	return out
}

// observePause restarts the time until the membership is settled when this entry VM
// has just started, or has been frozen for so long that members may have been missed.
func (sh *Sharer) observePause(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if now.Sub(sh.lastTick) > maxTickPause {
		sh.inTouchSince = now
	}
	sh.lastTick = now
}

// dropExpired removes the members that were not heard from within memberTimeout.
func (sh *Sharer) dropExpired(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for address, me := range sh.members {
		if now.Sub(me.lastHeard) >= memberTimeout && now.Sub(me.addedAt) >= memberTimeout {
			me.stop()
			delete(sh.members, address)
			sh.membersVersion++
			sh.Log.Info("member", "address", address, "state", "dropped")
			if me.domain == sh.Domain {
				sh.dropped[address] = now
			}
		}
	}
	for address, at := range sh.dropped {
		if now.Sub(at) >= shareRetention {
			delete(sh.dropped, address)
			sh.membersVersion++
		}
	}
}

// enqueue adds a message to the send queue and drops the oldest if it is full.
func (sh *Sharer) enqueue(me *member, om outgoingMessage) {
	for {
		select {
		case me.sendQueue <- om:
			return
		default:
		}
		select {
		case <-me.sendQueue:
			sh.messagesDropped.Add(1)
		default:
		}
	}
}

// MessagesDropped returns the number of messages that were not sent because the
// queue of a member was full.
func (sh *Sharer) MessagesDropped() int64 { return sh.messagesDropped.Load() }

// runMember sends the messages in one member's send queue until ctx ends.
func (sh *Sharer) runMember(ctx context.Context, me *member) {
	for {
		select {
		case <-ctx.Done():
			return
		case om := <-me.sendQueue:
			sh.send(ctx, time.Now(), me, om)
		}
	}
}

// send sends a message. The member must acknowledge it if the message requires that,
// or if the last acknowledged one is ackInterval ago.
func (sh *Sharer) send(ctx context.Context, now time.Time, me *member, om outgoingMessage) {
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	if len(om.body) == 0 {
		return
	}
	if now.Sub(me.lastAckRequest) < ackInterval && !om.needsAck {
		sh.recordDelivery(ctx, me, sh.Peers.Notify(callCtx, me.address, om.body))
		return
	}
	me.lastAckRequest = now
	ack, err := sh.Peers.Share(callCtx, me.address, om.body)
	sh.recordDelivery(ctx, me, err)
	if err == nil {
		sh.addMembers(ack.KnownAddresses)
		if sh.isBehind(ack.Digests, ack.NextOffsets) {
			sh.fetchRecords(ctx, me.address)
		}
	}
}

// recordDelivery records whether a member could be reached and logs each change.
// After a failure it waits for memberRetryDelay.
func (sh *Sharer) recordDelivery(ctx context.Context, me *member, err error) {
	sh.mu.Lock()
	changed := me.reachable != (err == nil)
	me.reachable, me.failedAt = err == nil, time.Time{}
	if err != nil {
		me.failedAt = time.Now()
	}
	sh.mu.Unlock()
	if changed {
		sh.Log.Info("member", "address", me.address, "reached", err == nil, "error", err)
	}
	if err != nil {
		me.lastAckRequest = time.Time{}
		pacer.Sleep(ctx, memberRetryDelay)
	}
}
