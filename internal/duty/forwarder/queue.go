package forwarder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
)

// maxQueue is the number of requests that wait for a place at most.
const maxQueue = 512

// item is a request that waits for a place, here or at another entry VM.
type item struct {
	id      ml.FlightID
	rq      *Request // nil for a request of another entry VM
	service ml.ServiceName
	ask     placer.Request
	since   time.Time
	urgency time.Time // latest moment at which engines could begin and be in time
	order   int64     // of the urgency, as the entry VM of the request counts time
	told    bool      // the other entry VMs know that it waits
	held    bool      // others that go before it take the places there are
	result  chan<- outcome
}

type outcome struct {
	placement *placement
	err       error
}

// queue holds the requests that wait.
type queue struct {
	mu     sync.Mutex
	items  []*item
	signal chan struct{}
}

// Wake makes the loop look at the waiting requests again.
func (fo *Forwarder) Wake() {
	select {
	case fo.queue.channel() <- struct{}{}:
	default:
	}
}

func (qu *queue) channel() chan struct{} {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.signal == nil {
		qu.signal = make(chan struct{}, 1)
	}
	return qu.signal
}

func (qu *queue) add(it *item) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if len(qu.items) >= maxQueue {
		return false
	}
	qu.items = append(qu.items, it)
	return true
}

// remove takes a request out and tells whether it was still there.
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

// all returns the waiting requests.
func (qu *queue) all() []*item {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return slices.Clone(qu.items)
}

// sortItems orders waiting requests, the most urgent first; those that are late
// already come after those that are not. All entry VMs order alike.
func sortItems(items []*item, now time.Time) {
	slices.SortStableFunc(items, func(a, b *item) int {
		return cmp.Or(lateness(a, now)-lateness(b, now), cmp.Compare(a.order, b.order), cmp.Compare(a.id, b.id))
	})
}

func lateness(it *item, now time.Time) int {
	if it.urgency.Before(now) {
		return 1
	}
	return 0
}

// QueueLength returns how many requests wait for a place.
func (fo *Forwarder) QueueLength() int {
	fo.queue.mu.Lock()
	defer fo.queue.mu.Unlock()
	return len(fo.queue.items)
}
