// Package sharer exchanges flights and waiting requests between entry VMs, so that
// each knows the load on the endpoints, and records of the platform's store that
// only some of them have read. Changes are sent at once and the full state
// periodically. In a large fleet one entry VM in each failure domain relays the
// messages of the others in batches.
package sharer

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/attributor"
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

const (
	// coalesceDelay is how long changes are collected before they are sent.
	coalesceDelay = 4 * time.Millisecond
	// stateInterval is the time between two periodic messages. With many members
	// it is stateIntervalPerMember for each of them, up to maxStateInterval.
	stateInterval          = 500 * time.Millisecond
	stateIntervalPerMember = 20 * time.Millisecond
	maxStateInterval       = 700 * time.Millisecond
	// fullStateEvery is the number of periodic messages of which, in a large
	// fleet, one holds the full state. The others only show that the sender is
	// alive.
	fullStateEvery  = 4
	peerCallTimeout = time.Second
	// fetchInterval is the shortest time between two fetches of records from members.
	fetchInterval = 300 * time.Millisecond
	// readerPatience is how long an entry VM that reads the store waits for what another one
	// has read there.
	readerPatience = 100 * time.Millisecond
)

// Sharer exchanges state with the other entry VMs. Its exported fields must be set
// before Run.
type Sharer struct {
	Self       ml.VMID
	Domain     ml.DomainID
	Region     []ml.DomainID // the failure domains of the same region
	Cores      float64       // processor cores of this entry VM; relays are those with the most
	Address    string        // at which other entry VMs reach this one
	Seeds      []string      // addresses of the first members
	Peers      ml.SharePeers
	Tracker    *tracker.Tracker
	Catalog    *cataloger.Cataloger
	Detector   *detector.Detector
	Attributor *attributor.Attributor
	Log        *slog.Logger
	Leaving    func() bool
	// ShareCleared is called with parts that other entry VMs suspect and answers here have
	// cleared.
	ShareCleared func(parts []ml.PartID)
	Cut          func() []ml.ServiceName // services to which this entry VM has lost all paths
	// Schedules means that this entry VM places requests of others when it is asked.
	Schedules bool
	// OnReport is called with the endpoints that have answered or failed requests that this
	// entry VM has placed for another one, and OnWithdrawn with requests that another entry
	// VM no longer asks it to place. They may be nil.
	OnReport    func(now time.Time, answered, failed []ml.EndpointID)
	OnWithdrawn func(from ml.VMID, ids []ml.FlightID)
	// OnReader is called when another entry VM says that it has read the store, which this one
	// doesn't. It may be nil.
	OnReader func()

	changed       chan struct{} // there are changes to send
	batchReady    chan struct{} // there are messages to relay
	mu            sync.Mutex
	members       map[string]*member
	unsentRecords []ml.KeyRecord // read from the store, not yet sent
	batch         []batchedMessage
	sentCut       []ml.ServiceName // as sent last; used by Run only
	informant     string           // address of the entry VM to ask what is newest; empty for the reader of the domain
	periodicCount int              // periodic messages built so far; used by Run only
	reportsTo     string           // address of the scheduler that knows the requests; used by Run only
	fetching      atomic.Bool      // records are being fetched from a member
	fetchedAt     time.Time        // when they were fetched last; guarded by fetching

	dropped        map[string]time.Time // when members of this domain were dropped, by address
	membersVersion int64                // increases with each change of the members or their domains
	membership     ml.Membership        // for the version in it
	inTouchSince   time.Time            // start of this entry VM, or the end of its last pause
	lastTick       time.Time            // of the last periodic message

	messagesDropped atomic.Int64
}

// New returns a sharer. Signal may be called before Run.
func New() *Sharer {
	return &Sharer{changed: make(chan struct{}, 1), batchReady: make(chan struct{}, 1), members: make(map[string]*member), dropped: make(map[string]time.Time)}
}

// Signal makes Run send the changes that have not been sent yet.
func (sh *Sharer) Signal() { notify(sh.changed) }

// notify signals a loop without blocking.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Run exchanges state until ctx ends.
func (sh *Sharer) Run(ctx context.Context) error {
	for _, address := range sh.Seeds {
		sh.AddMember(ctx, address)
	}
	go sh.runRelay(ctx)
	sh.observePause(time.Now())
	ti := time.NewTimer(stateInterval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
			ti.Reset(sh.sendState(ctx, time.Now()))
		case <-sh.changed:
			pacer.Sleep(ctx, coalesceDelay)
			sh.sendChanges(time.Now())
		}
	}
}

func (sh *Sharer) sendChanges(now time.Time) {
	changes, found := sh.Tracker.TakeChanges()
	sh.mu.Lock()
	changes.Records, sh.unsentRecords = sh.unsentRecords, nil
	sh.mu.Unlock()
	if address, isSelf := sh.Scheduler(now); address != "" {
		changes = sh.report(now, address, isSelf, changes)
		found = isNews(&changes)
	}
	cut := sh.Cut()
	if found || len(changes.Records) > 0 || !slices.Equal(cut, sh.sentCut) {
		sh.sentCut = cut
		sh.broadcast(now, changes)
	}
}

// sendState sends the periodic messages and removes expired members. It returns the
// time until the next call.
func (sh *Sharer) sendState(ctx context.Context, now time.Time) time.Duration {
	sh.observePause(now)
	sh.sendChanges(now)
	sh.periodicCount++
	known := sh.liveAddresses(now)
	interval := min(max(stateInterval, stateIntervalPerMember*time.Duration(len(known))), maxStateInterval)
	ticks := sh.heartbeatTicks(now, interval)
	sh.reportState(now)
	if sh.periodicCount%ticks == 0 {
		sh.broadcast(now, sh.periodicState(now, time.Duration(ticks)*interval))
	}
	sh.dropExpired(now)
	for _, address := range sh.Seeds {
		sh.AddMember(ctx, address)
	}
	if sh.periodicCount%ticks != 0 {
		known = nil
	}
	sh.sendDigest(known)
	return interval
}

// periodicState returns the message that is sent periodically so that others know
// that this entry VM is alive, the next one after an interval. It holds the full state, in a
// large fleet only once in fullStateEvery calls, and nothing of the requests if a scheduler
// knows them.
func (sh *Sharer) periodicState(now time.Time, interval time.Duration) ml.ShareMessage {
	sh.mu.Lock()
	large := sh.usesRelays()
	sh.mu.Unlock()
	sm := ml.ShareMessage{}
	if !large || sh.periodicCount%fullStateEvery == 0 || interval > maxStateInterval {
		sm = sh.Tracker.Snapshot(now)
		sm.Blocked, sm.Departures = sh.Attributor.Blocked(now), sh.Catalog.Departures()
	}
	if address, _ := sh.Scheduler(now); address != "" {
		sm.Flights, sm.Waiting, sm.Full, sm.Scheduled = nil, nil, false, true // the scheduler has them
	}
	sm.IntervalMs = interval.Milliseconds()
	return sm
}

// withSender adds what identifies this entry VM to a message.
func (sh *Sharer) withSender(sm ml.ShareMessage) ml.ShareMessage {
	sm.From, sm.Address, sm.Domain, sm.Cores, sm.Leaving = sh.Self, sh.Address, sh.Domain, sh.Cores, sh.Leaving()
	sm.Cut, sm.Version, sm.Schedules = sh.Cut(), sh.Catalog.Version(), sh.Schedules
	return sm
}

// broadcast sends a message to all members, directly or by the relay.
func (sh *Sharer) broadcast(now time.Time, sm ml.ShareMessage) {
	sm = sh.withSender(sm)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.usesRelays() {
		om := sh.encode(sm)
		for _, me := range sh.members {
			sh.enqueue(me, om)
		}
		return
	}
	if len(sm.Records) > 0 {
		sh.sendRecordsToDomain(sm)
		sh.announceRecords(now)
		sm.Records = nil
	}
	if re := sh.findRelay(now, sh.Domain); re != nil {
		sm.Relay = true
		sh.enqueue(re, sh.encode(sm))
		return
	}
	sh.addToBatch(now, sm, false)
}

// sendRecordsToDomain sends store records to all members of the own failure domain
// directly, so that they are not delayed if the relay hangs. The caller must hold
// sh.mu.
func (sh *Sharer) sendRecordsToDomain(sm ml.ShareMessage) {
	om := sh.encode(sh.withSender(ml.ShareMessage{Records: sm.Records}))
	for _, me := range sh.members {
		if me.domain == sh.Domain {
			sh.enqueue(me, om)
		}
	}
}

// OnShare implements ml.ShareHandler.
func (sh *Sharer) OnShare(sm ml.ShareMessage) ml.ShareAck {
	now := time.Now()
	sh.apply(now, sm)
	for _, other := range sm.Relayed {
		sh.apply(now, other)
	}
	if sm.Relay {
		sh.relayFor(now, sm)
	}
	ack := ml.ShareAck{Digests: sh.Catalog.Digests()}
	if sm.Digests == nil {
		ack.NextOffsets = offsets(sh.Catalog.NextPositions()) // the sender may be of an earlier release
	}
	if len(sm.KnownAddresses) > 0 {
		ack.KnownAddresses = sh.liveAddresses(now)
		sh.addMembers(sm.KnownAddresses)
	}
	if sh.isBehind(sm.Digests, sm.NextOffsets) {
		go sh.runFetchRecords(sm.Address, sm.Digests)
	}
	return ack
}

// apply processes the message of one entry VM.
func (sh *Sharer) apply(now time.Time, sm ml.ShareMessage) {
	if sm.From == sh.Self {
		return
	}
	sh.AddMember(context.Background(), sm.Address)
	sh.updateMember(now, sm)
	answered := sh.Tracker.ApplyPeerUpdate(now.Add(-time.Duration(sm.AgeMs)*time.Millisecond), sm)
	sh.applyReport(now, sm, answered)
	if len(sm.Records) > 0 {
		sh.Catalog.Merge(now, sm.Records, nil)
	}
	if sm.HasRead {
		sh.setInformant(sm.Address)
	}
	if cleared := sh.Attributor.ApplyPeerUpdate(now.Add(-time.Duration(sm.AgeMs)*time.Millisecond), sm); len(cleared) > 0 {
		sh.ShareCleared(cleared)
	}
	for _, de := range sm.Departures {
		if sh.Catalog.RecordDeparture(now, de) {
			sh.Log.Info("endpoint", "endpoint", de.Endpoint, "incarnation", de.Incarnation, "state", "leaving", "source", "peer", "peer", sm.From)
		}
	}
	for _, id := range sm.Failed {
		sh.Detector.Record(now, id, "", detector.PeerFailed)
	}
}
