package forwarder

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/diagnoser"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
	"github.com/mulberrylever/mulberrylever/internal/decision/ranker"
)

const (
	// maxQueuedRequests bounds the requests of this entry VM that wait for placement, and
	// maxAskedRequests those of others for which it is the scheduler.
	maxQueuedRequests, maxAskedRequests = 512, 4096
	// askRetention is how long a request of another entry VM waits after that one last asked
	// for a decision.
	askRetention = 800 * time.Millisecond
)

// item is a request that waits for placement, here or at another entry VM.
type item struct {
	id           ml.FlightID
	rq           *Request                  // nil for a request of another entry VM
	ask          *ml.PlacementRequest      // of another entry VM, which this one is to place
	spec         *ml.ServiceSpec           // of ask
	exclusion    atomic.Pointer[exclusion] // of ask, as it was asked last
	isDecided    bool                      // the other entry VM has not fetched the decision yet; guarded by the queue's mutex
	askedAt      time.Time                 // when the other entry VM last asked; guarded by the queue's mutex
	service      ml.ServiceName
	placerReq    placer.Request
	waitingSince time.Time
	latestStart  time.Time    // latest start at which an engine meets the objective
	sortKey      int64        // latestStart in milliseconds, by the clock of the request's entry VM
	priority     ml.Priority  // as the operators rank it
	weight       float64      // by rank; 0 counts as 1
	ranks        ml.RankRange // of the requests for its service
	team         ml.TeamID
	isBehind     bool              // its team uses more than its share; guarded by the queue's mutex
	shared       bool              // sent to the other entry VMs
	outranked    bool              // more urgent requests need all free slots
	maxIdleWait  time.Duration     // while no endpoint can take it at all
	isImmediate  bool              // does not wait
	replaces     ml.FlightID       // request whose flights end when this one is placed; empty for none
	silence      diagnoser.Silence // of the engine that the request leaves; zero if it leaves none
	result       chan decision
}

// exclude sets the endpoints that must not get a request of another entry VM.
func (it *item) exclude(pr *ml.PlacementRequest) {
	named, isAllowed := pr.Excluded, len(pr.Allowed) > 0
	if isAllowed {
		named = pr.Allowed
	}
	ex := &exclusion{named: make(map[ml.EndpointID]bool, len(named)), isAllowed: isAllowed}
	for _, id := range named {
		ex.named[id] = true
	}
	it.exclusion.Store(ex)
}

// isExcluded reports whether an endpoint must not get a request of another entry VM.
func (it *item) isExcluded(id ml.EndpointID) bool {
	ex := it.exclusion.Load()
	return ex != nil && ex.named[id] != ex.isAllowed
}

// exclusion tells which endpoints a request must not get: those that are named or, if these
// are the allowed ones, all others.
type exclusion struct {
	named     map[ml.EndpointID]bool
	isAllowed bool
}

// isSimulated reports whether another entry VM decides on the request.
func (it *item) isSimulated() bool { return it.rq == nil && it.ask == nil }

// decision is the result for a waiting request: a placement or an error.
type decision struct {
	placement *placement
	err       error
}

// queue holds the requests of this entry VM that wait for placement.
type queue struct {
	mu    sync.Mutex
	items []*item
	wake  chan struct{}
}

// Wake makes Run evaluate the queue.
func (fo *Forwarder) Wake() {
	select {
	case fo.queue.wakeChannel() <- struct{}{}:
	default:
	}
}

func (qu *queue) wakeChannel() chan struct{} {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.wake == nil {
		qu.wake = make(chan struct{}, 1)
	}
	return qu.wake
}

// add adds a waiting request. In a full queue the last one in order, which it returns, leaves for
// one of a higher rank. It reports false if there is no place for the request.
func (qu *queue) add(now time.Time, it *item) (left *item, added bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	limit := maxAskedRequests
	if it.ask == nil {
		limit = maxQueuedRequests
	}
	if len(qu.items) >= limit {
		if left = qu.removeBehind(now, it); left == nil {
			return nil, false
		}
	}
	qu.items = append(qu.items, it)
	return left, true
}

// removeBehind removes the last waiting request in order if a request has a higher rank than it.
// It returns nil if there is none. The caller must hold qu.mu.
func (qu *queue) removeBehind(now time.Time, it *item) *item {
	last := -1
	for i, other := range qu.items {
		if other.agedRank(now) > it.agedRank(now) && !other.isDecided && (last < 0 || compareUrgency(other, qu.items[last], now) > 0) {
			last = i
		}
	}
	if last < 0 {
		return nil
	}
	left := qu.items[last]
	if left.ask != nil {
		left.isDecided = true // stays until the refusal is fetched
		return left
	}
	qu.items = slices.Delete(qu.items, last, last+1)
	return left
}

// remove removes a request and reports whether it was still queued.
func (qu *queue) remove(it *item) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	at := slices.Index(qu.items, it)
	if at < 0 {
		return false
	}
	qu.items = slices.Delete(qu.items, at, at+1)
	return true
}

// snapshot returns the waiting requests. It drops those that other entry VMs no longer ask
// for, and returns the ones of them on which was decided.
func (qu *queue) snapshot(now time.Time) (waiting, abandoned []*item) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.items = slices.DeleteFunc(qu.items, func(it *item) bool {
		isDropped := it.ask != nil && now.Sub(it.askedAt) >= askRetention
		switch {
		case isDropped && it.isDecided:
			abandoned = append(abandoned, it)
		case !isDropped && !it.isDecided:
			waiting = append(waiting, it)
		}
		return isDropped
	})
	return waiting, abandoned
}

// settle records that a request of another entry VM is decided on, which stays until that one
// fetches the decision. It reports whether the request still waited for one.
func (qu *queue) settle(it *item) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if it.isDecided || !slices.Contains(qu.items, it) {
		return false
	}
	it.isDecided = true
	return true
}

// isEmpty reports whether there is neither a waiting request nor an unfetched decision.
func (qu *queue) isEmpty() bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return len(qu.items) == 0
}

// renew finds the request of another entry VM that asks for it again, with the endpoints that
// are excluded by now. It returns nil if there is none.
func (qu *queue) renew(now time.Time, pr *ml.PlacementRequest) *item {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, it := range qu.items {
		if it.ask != nil && it.id == pr.ID && it.ask.From == pr.From {
			it.askedAt = now
			it.exclude(pr)
			return it
		}
	}
	return nil
}

// withdraw removes requests that another entry VM no longer asks for.
func (qu *queue) withdraw(from ml.VMID, ids []ml.FlightID) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.items = slices.DeleteFunc(qu.items, func(it *item) bool { return it.ask != nil && it.ask.From == from && slices.Contains(ids, it.id) })
}

// setBehind records which requests go behind since their teams use more than their share.
func (qu *queue) setBehind(items []*item, behind map[ml.ServiceName]map[ml.TeamID]bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, it := range items {
		it.isBehind = behind[it.service][it.team]
	}
}

// sortByUrgency sorts waiting requests, the most urgent first. Those that can no
// longer meet their objective come last. Within both groups higher ranks go first, and within a
// rank teams that use no more than their share. The order is the same at all entry VMs that know
// the same.
func sortByUrgency(items []*item, now time.Time) {
	slices.SortStableFunc(items, func(a, b *item) int {
		return compareUrgency(a, b, now)
	})
}

// compareUrgency returns a negative number if a goes before b.
func compareUrgency(a, b *item, now time.Time) int {
	return cmp.Or(latenessGroup(a, now)-latenessGroup(b, now), cmp.Compare(a.agedRank(now), b.agedRank(now)), a.shareGroup()-b.shareGroup(), cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.id, b.id))
}

// agedRank returns the rank of a request after its waiting time.
func (it *item) agedRank(now time.Time) ml.Priority {
	return ranker.Aged(now, it.waitingSince, it.priority, it.ranks)
}

// shareGroup is 1 for a request whose team uses more than its share, and 0 for others.
func (it *item) shareGroup() int {
	if it.isBehind {
		return 1
	}
	return 0
}

func latenessGroup(it *item, now time.Time) int {
	if it.latestStart.Before(now) {
		return 1
	}
	return 0
}

// QueueLength returns how many requests wait for placement.
func (fo *Forwarder) QueueLength() int {
	fo.queue.mu.Lock()
	defer fo.queue.mu.Unlock()
	n := 0
	for _, it := range fo.queue.items {
		if !it.isDecided {
			n++
		}
	}
	return n
}
