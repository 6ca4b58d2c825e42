// Package sharer tells the other entry VMs what this one has under way, learns
// the same from them, and fetches records of the platform's store from those
// that have read further.
package sharer

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

const (
	// gather is how long changes are gathered before they are told.
	gather = 4 * time.Millisecond
	// whole is the time between two messages with all that is under way, and
	// wholeMost what it grows to in a large fleet, by wholeMember for each.
	whole       = 500 * time.Millisecond
	wholeMember = 20 * time.Millisecond
	wholeMost   = 700 * time.Millisecond
	// callTimeout bounds one message.
	callTimeout = time.Second
	// ringSize is the number of messages that wait for one peer; the oldest
	// is dropped, since the next whole one makes up for it.
	ringSize = 64
	// forget is the time after which an address that never answers is dropped.
	forget = 20 * time.Second
	// retryLost is the time between two tries to reach a peer that does not
	// answer.
	retryLost = time.Second
)

// Sharer shares. Its fields are set before Run.
type Sharer struct {
	Self     ml.VMID
	Address  string   // of this entry VM, for others
	Seeds    []string // addresses to begin with
	Peers    ml.SharePeers
	Tracker  *tracker.Tracker
	Catalog  *cataloger.Cataloger
	Detector *detector.Detector
	Log      *slog.Logger
	Leaving  func() bool

	signal  chan struct{}
	mu      sync.Mutex
	members map[string]*member
	news    []ml.KeyRecord // from the store, not yet told
	sync    atomic.Bool    // a fetch of records is under way
}

// member is another entry VM.
type member struct {
	address string
	ring    chan ml.Shared
	added   time.Time
	heard   time.Time // when it last answered or sent something
	reached bool
	stop    context.CancelFunc
}

// New returns a sharer that can be signalled before it runs.
func New() *Sharer { return &Sharer{signal: make(chan struct{}, 1)} }

// Signal tells that there is something to share.
func (sh *Sharer) Signal() {
	select {
	case sh.signal <- struct{}{}:
	default:
	}
}

// Run shares until ctx ends.
func (sh *Sharer) Run(ctx context.Context) error {
	for _, address := range sh.Seeds {
		sh.add(ctx, time.Now(), address)
	}
	ti := time.NewTimer(whole)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
			ti.Reset(sh.tellWhole(ctx, time.Now()))
		case <-sh.signal:
			pacer.Sleep(ctx, gather)
			sh.tellChanges()
		}
	}
}

// Publish tells the other entry VMs of records that the store has given.
func (sh *Sharer) Publish(records []ml.KeyRecord) {
	sh.mu.Lock()
	sh.news = append(sh.news, records...)
	sh.mu.Unlock()
	sh.Signal()
}

func (sh *Sharer) tellChanges() {
	changes, any := sh.Tracker.Changes()
	sh.mu.Lock()
	changes.Records, sh.news = sh.news, nil
	sh.mu.Unlock()
	if any || len(changes.Records) > 0 {
		sh.tell(changes)
	}
}

// Add makes an address known, as from the platform's store.
func (sh *Sharer) Add(ctx context.Context, address string) { sh.add(ctx, time.Now(), address) }

func (sh *Sharer) add(ctx context.Context, now time.Time, address string) {
	if address == "" || address == sh.Address {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.members == nil {
		sh.members = make(map[string]*member)
	}
	if sh.members[address] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	me := &member{address: address, ring: make(chan ml.Shared, ringSize), added: now, stop: cancel}
	sh.members[address] = me
	go sh.runMember(ctx, me)
}

// tellWhole sends everything to all members, and drops those that have not
// been heard for long. It returns the time until the next such message.
func (sh *Sharer) tellWhole(ctx context.Context, now time.Time) time.Duration {
	sh.tellChanges()
	all := sh.Tracker.Whole(now)
	all.Heads = sh.Catalog.Heads()
	all.Known = sh.known(now)
	sh.tell(all)
	sh.drop(now)
	for _, address := range sh.Seeds {
		sh.add(ctx, now, address)
	}
	return min(max(whole, wholeMember*time.Duration(len(all.Known))), wholeMost)
}

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

func (sh *Sharer) tell(ms ml.Shared) {
	ms.From, ms.Address, ms.Leaving = sh.Self, sh.Address, sh.Leaving()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, me := range sh.members {
		me.put(ms)
	}
}

// put adds a message to the ring and drops the oldest when it is full.
func (me *member) put(ms ml.Shared) {
	for {
		select {
		case me.ring <- ms:
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
		case ms := <-me.ring:
			sh.send(ctx, me, ms)
		}
	}
}

func (sh *Sharer) send(ctx context.Context, me *member, ms ml.Shared) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	ack, err := sh.Peers.Share(call, me.address, ms)
	cancel()
	sh.reached(me, err)
	if err != nil {
		pacer.Sleep(ctx, retryLost)
		return
	}
	sh.catchUp(ctx, me.address, ack.Heads)
}

// reached notes whether a member answers, and logs each change.
func (sh *Sharer) reached(me *member, err error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if err == nil {
		me.heard = time.Now()
	}
	if me.reached != (err == nil) {
		me.reached = err == nil
		sh.Log.Info("member", "address", me.address, "reached", me.reached, "error", err)
	}
}

// catchUp fetches the records that a peer has read and this entry VM has not.
func (sh *Sharer) catchUp(ctx context.Context, address string, heads map[ml.TopicName]ml.Offset) {
	own := sh.Catalog.Heads()
	behind := false
	for to, head := range heads {
		behind = behind || head > own[to]
	}
	if !behind || !sh.sync.CompareAndSwap(false, true) {
		return
	}
	defer sh.sync.Store(false)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := sh.Peers.Records(call, address, own)
	if err != nil {
		sh.Log.Warn("records not fetched", "peer", address, "error", err)
		return
	}
	sh.Catalog.Merge(time.Now(), records, heads)
}

// OnShare implements ml.ShareHandler.
func (sh *Sharer) OnShare(ms ml.Shared) ml.ShareAck {
	now := time.Now()
	sh.Tracker.Learn(now, ms)
	sh.Catalog.Merge(now, ms.Records, nil)
	for _, id := range ms.Failed {
		sh.Detector.Note(now, id, "", detector.PeerFailed)
	}
	ack := ml.ShareAck{}
	if ms.Whole {
		ack.Heads = sh.Catalog.Heads()
		ctx := context.Background()
		sh.add(ctx, now, ms.Address)
		for _, address := range ms.Known {
			sh.add(ctx, now, address)
		}
		if len(ms.Heads) > 0 {
			go sh.runCatchUp(ms.Address, ms.Heads)
		}
	}
	return ack
}

func (sh *Sharer) runCatchUp(address string, heads map[ml.TopicName]ml.Offset) {
	sh.catchUp(context.Background(), address, heads)
}

// OnRecords implements ml.ShareHandler.
func (sh *Sharer) OnRecords(after map[ml.TopicName]ml.Offset) []ml.KeyRecord {
	return sh.Catalog.After(after)
}
