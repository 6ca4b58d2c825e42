package forwarder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
)

// maxQueuedRequests bounds the requests that wait for placement.
const maxQueuedRequests = 512

// item is a request that waits for placement, here or at another entry VM.
type item struct {
	id           ml.FlightID
	rq           *Request // nil for a request of another entry VM
	service      ml.ServiceName
	placerReq    placer.Request
	waitingSince time.Time
	latestStart  time.Time // latest start at which an engine meets the objective
	rank         int64     // latestStart in milliseconds, by the clock of the request's entry VM
	shared       bool      // sent to the other entry VMs
	outranked    bool      // more urgent requests need all free slots
	result       chan<- decision
}

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

func (qu *queue) add(it *item) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if len(qu.items) >= maxQueuedRequests {
		return false
	}
	qu.items = append(qu.items, it)
	return true
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

func (qu *queue) snapshot() []*item {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return slices.Clone(qu.items)
}

// sortByUrgency sorts waiting requests, the most urgent first. Those that can no
// longer meet their objective come last. The order is the same at all entry VMs.
func sortByUrgency(items []*item, now time.Time) {
	slices.SortStableFunc(items, func(a, b *item) int {
		return cmp.Or(latenessGroup(a, now)-latenessGroup(b, now), cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
	})
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
	return len(fo.queue.items)
}
