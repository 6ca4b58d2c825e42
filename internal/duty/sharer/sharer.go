// Package sharer tells the other entry VMs what this one has under way, learns
// the same from them, and fetches records of the platform's store from those
// that have read further. In a large fleet one entry VM of each failure domain
// passes on what the others there tell, many messages in one.
package sharer

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	// wholeEach is the number of these messages of which one tells everything in
	// a large fleet.
	wholeEach = 4
	// callTimeout bounds one call.
	callTimeout = time.Second
)

// Sharer shares. Its fields are set before Run.
type Sharer struct {
	Self     ml.VMID
	Domain   ml.DomainID
	Cores    float64  // of this entry VM; those with more pass messages on
	Address  string   // of this entry VM, for others
	Seeds    []string // addresses to begin with
	Peers    ml.SharePeers
	Tracker  *tracker.Tracker
	Catalog  *cataloger.Cataloger
	Detector *detector.Detector
	Log      *slog.Logger
	Leaving  func() bool

	signal  chan struct{} // there are changes to tell
	batched chan struct{} // there is something to pass on
	mu      sync.Mutex
	members map[string]*member
	news    []ml.KeyRecord // from the store, not yet told
	batch   []passed
	beats   int         // messages of tellWhole; used by Run only
	sync    atomic.Bool // a fetch of records is under way
}

// New returns a sharer that can be signalled before it runs.
func New() *Sharer {
	return &Sharer{signal: make(chan struct{}, 1), batched: make(chan struct{}, 1), members: make(map[string]*member)}
}

// Signal tells that there is something to share.
func (sh *Sharer) Signal() { wake(sh.signal) }

func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Run shares until ctx ends.
func (sh *Sharer) Run(ctx context.Context) error {
	for _, address := range sh.Seeds {
		sh.AddMember(ctx, address)
	}
	go sh.runPassOn(ctx)
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
			sh.tellChanges(time.Now())
		}
	}
}

// PublishRecords tells the other entry VMs of records that the store has given.
func (sh *Sharer) PublishRecords(records []ml.KeyRecord) {
	sh.mu.Lock()
	sh.news = append(sh.news, records...)
	sh.mu.Unlock()
	sh.Signal()
}

func (sh *Sharer) tellChanges(now time.Time) {
	changes, any := sh.Tracker.TakeChanges()
	sh.mu.Lock()
	changes.Records, sh.news = sh.news, nil
	sh.mu.Unlock()
	if any || len(changes.Records) > 0 {
		sh.tell(now, changes)
	}
}

// tellWhole tells everything, and drops members that have not been heard for
// long. It returns the time until the next such message.
func (sh *Sharer) tellWhole(ctx context.Context, now time.Time) time.Duration {
	sh.tellChanges(now)
	sh.tell(now, sh.beat(now))
	sh.drop(now)
	for _, address := range sh.Seeds {
		sh.AddMember(ctx, address)
	}
	known := sh.known(now)
	sh.greet(known)
	return min(max(whole, wholeMember*time.Duration(len(known))), wholeMost)
}

// beat returns everything, in a large fleet only now and then: it is told so
// that others know that this entry VM lives.
func (sh *Sharer) beat(now time.Time) ml.ShareMessage {
	sh.mu.Lock()
	large := sh.large()
	sh.mu.Unlock()
	sh.beats++
	if large && sh.beats%wholeEach != 0 {
		return ml.ShareMessage{}
	}
	return sh.Tracker.Snapshot(now)
}

// greet tells one member, any, whom this entry VM knows and how far it has
// read, and so learns the same of it: what messages have missed is made up for.
func (sh *Sharer) greet(known []string) {
	pa := sh.pack(sh.sign(ml.ShareMessage{KnownAddresses: known, NextOffsets: sh.Catalog.NextOffsets()}))
	sh.mu.Lock()
	defer sh.mu.Unlock()
	skip := rand.IntN(max(len(sh.members), 1))
	for _, me := range sh.members {
		if skip == 0 {
			me.put(pa)
			return
		}
		skip--
	}
}

// sign adds who tells it.
func (sh *Sharer) sign(ms ml.ShareMessage) ml.ShareMessage {
	ms.From, ms.Address, ms.Domain, ms.Cores, ms.Leaving = sh.Self, sh.Address, sh.Domain, sh.Cores, sh.Leaving()
	return ms
}

// tell tells all members: directly, or by the one that passes messages on.
func (sh *Sharer) tell(now time.Time, ms ml.ShareMessage) {
	ms = sh.sign(ms)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.large() {
		pa := sh.pack(ms)
		for _, me := range sh.members {
			me.put(pa)
		}
		return
	}
	if len(ms.Records) > 0 {
		sh.tellNear(ms)
	}
	if re := sh.relay(now, sh.Domain); re != nil {
		ms.Relay = true
		re.put(sh.pack(ms))
		return
	}
	sh.pass(now, ms, false)
}

// tellNear tells all members of the own failure domain directly: news of the
// store must not wait for one that passes messages on and may be frozen. It needs
// the lock.
func (sh *Sharer) tellNear(ms ml.ShareMessage) {
	pa := sh.pack(sh.sign(ml.ShareMessage{Records: ms.Records}))
	for _, me := range sh.members {
		if me.domain == sh.Domain {
			me.put(pa)
		}
	}
}

// OnShare implements ml.ShareHandler.
func (sh *Sharer) OnShare(ms ml.ShareMessage) ml.ShareAck {
	now := time.Now()
	sh.learn(now, ms)
	for _, other := range ms.Relayed {
		sh.learn(now, other)
	}
	if ms.Relay {
		sh.passAsked(now, ms)
	}
	ack := ml.ShareAck{NextOffsets: sh.Catalog.NextOffsets()}
	if len(ms.KnownAddresses) > 0 {
		ack.KnownAddresses = sh.known(now)
		sh.addAll(ms.KnownAddresses)
	}
	if len(ms.NextOffsets) > 0 {
		go sh.runCatchUp(ms.Address, ms.NextOffsets)
	}
	return ack
}

// learn takes in what one entry VM has told.
func (sh *Sharer) learn(now time.Time, ms ml.ShareMessage) {
	if ms.From == sh.Self {
		return
	}
	sh.AddMember(context.Background(), ms.Address)
	sh.heard(now, ms)
	sh.Tracker.ApplyPeerUpdate(now.Add(-time.Duration(ms.AgeMs)*time.Millisecond), ms)
	if len(ms.Records) > 0 {
		sh.Catalog.Merge(now, ms.Records, nil)
	}
	for _, id := range ms.Failed {
		sh.Detector.Record(now, id, "", detector.PeerFailed)
	}
}

// catchUp fetches the records that a peer has read and this entry VM has not.
func (sh *Sharer) catchUp(ctx context.Context, address string, heads map[ml.TopicName]ml.Offset) {
	own := sh.Catalog.NextOffsets()
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

func (sh *Sharer) runCatchUp(address string, heads map[ml.TopicName]ml.Offset) {
	sh.catchUp(context.Background(), address, heads)
}

// OnRecords implements ml.ShareHandler.
func (sh *Sharer) OnRecords(after map[ml.TopicName]ml.Offset) []ml.KeyRecord {
	return sh.Catalog.RecordsFrom(after)
}
