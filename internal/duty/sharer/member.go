package sharer

import (
	"context"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// ringSize is the number of messages that wait for one peer; the oldest
	// is dropped, since the next whole one makes up for it.
	ringSize = 64
	// forget is the time after which an address that never answers is dropped.
	forget = 20 * time.Second
	// retryLost is the time between two tries to reach a peer that does not
	// answer.
	retryLost = time.Second
	// askEach is the time between two messages that a peer has to answer, so
	// that a silent connection is found.
	askEach = time.Second
)

// parcel is a message for one or many members.
type parcel struct {
	body ml.EncodedMessage
	asks bool // the receiver has to answer
}

// pack packs a message. One that can't be packed is logged and not sent.
func (sh *Sharer) pack(ms ml.ShareMessage) parcel {
	body, err := sh.Peers.Pack(ms)
	if err != nil {
		sh.Log.Error("message not packed", "error", err)
	}
	return parcel{body, len(ms.KnownAddresses) > 0}
}

// member is another entry VM.
type member struct {
	address string
	domain  ml.DomainID // empty until it was heard
	ring    chan parcel
	added   time.Time
	heard   time.Time // when something of it came
	leaving bool
	cores   float64
	reached bool
	failed  time.Time // when a message last did not reach it; zero since one did
	asked   time.Time // when it was last sent what it has to answer; used by its loop only
	stop    context.CancelFunc
}

// AddMember makes an address known, as from the platform's store.
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
	me := &member{address: address, ring: make(chan parcel, ringSize), added: time.Now(), stop: cancel}
	sh.members[address] = me
	go sh.runMember(ctx, me)
}

func (sh *Sharer) addAll(addresses []string) {
	for _, address := range addresses {
		sh.AddMember(context.Background(), address)
	}
}

// heard notes that something of a member has come.
func (sh *Sharer) heard(now time.Time, ms ml.ShareMessage) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if me := sh.members[ms.Address]; me != nil {
		me.heard, me.domain, me.cores, me.leaving = now, ms.Domain, ms.Cores, ms.Leaving
	}
}

// known returns the addresses of the members that were heard lately.
func (sh *Sharer) known(now time.Time) []string {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	out := []string{}
	for _, me := range sh.members {
		if now.Sub(me.heard) < forget {
			out = append(out, me.address)
		}
	}
	slices.Sort(out)
	return out
}

// drop drops the members that have not been heard for long.
func (sh *Sharer) drop(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for address, me := range sh.members {
		if now.Sub(me.heard) >= forget && now.Sub(me.added) >= forget {
			me.stop()
			delete(sh.members, address)
			sh.Log.Info("member", "address", address, "state", "dropped")
		}
	}
}

// put adds a message to the ring and drops the oldest when it is full.
func (me *member) put(pa parcel) {
	for {
		select {
		case me.ring <- pa:
			return
		default:
		}
		select {
		case <-me.ring:
		default:
		}
	}
}

// runMember sends the messages of one member's ring.
func (sh *Sharer) runMember(ctx context.Context, me *member) {
	for {
		select {
		case <-ctx.Done():
			return
		case pa := <-me.ring:
			sh.send(ctx, time.Now(), me, pa)
		}
	}
}

// send sends a message; it asks for an answer where the last one is a while ago,
// or where the message itself asks for something.
func (sh *Sharer) send(ctx context.Context, now time.Time, me *member, pa parcel) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if len(pa.body) == 0 {
		return
	}
	if now.Sub(me.asked) < askEach && !pa.asks {
		sh.reached(ctx, me, sh.Peers.Notify(call, me.address, pa.body))
		return
	}
	me.asked = now
	ack, err := sh.Peers.Share(call, me.address, pa.body)
	sh.reached(ctx, me, err)
	if err == nil {
		sh.addAll(ack.KnownAddresses)
		sh.catchUp(ctx, me.address, ack.NextOffsets)
	}
}

// reached notes whether a member can be reached, logs each change, and waits a
// while when it can't be.
func (sh *Sharer) reached(ctx context.Context, me *member, err error) {
	sh.mu.Lock()
	changed := me.reached != (err == nil)
	me.reached, me.failed = err == nil, time.Time{}
	if err != nil {
		me.failed = time.Now()
	}
	sh.mu.Unlock()
	if changed {
		sh.Log.Info("member", "address", me.address, "reached", err == nil, "error", err)
	}
	if err != nil {
		me.asked = time.Time{}
		pacer.Sleep(ctx, retryLost)
	}
}
