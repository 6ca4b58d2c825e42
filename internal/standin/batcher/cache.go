package batcher

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
)

// blockTokens is the unit in which prompt prefixes are cached.
const blockTokens = 1024

// cache is a prefix cache with least-recently-used eviction.
type cache struct {
	capacity int // blocks
	order    list.List
	blocks   map[uint64]*list.Element
	events   []ml.CacheEvent
	sequence int64
}

// blockHashes returns the hash of every whole prefix block of prompt.
func blockHashes(prompt string) []uint64 {
	const size = blockTokens * 4
	di := xxhash.New()
	out := make([]uint64, 0, len(prompt)/size)
	for at := size; at <= len(prompt); at += size {
		_, _ = di.WriteString(prompt[at-size : at])
		out = append(out, di.Sum64())
	}
	return out
}

// match returns how many of the leading blocks are cached and marks them used.
func (ca *cache) match(blocks []uint64) int {
	for i, bl := range blocks {
		el, found := ca.blocks[bl]
		if !found {
			return i
		}
		ca.order.MoveToFront(el)
	}
	return len(blocks)
}

// store adds blocks and evicts what no longer fits.
func (ca *cache) store(now time.Time, blocks []uint64) {
	if ca.blocks == nil {
		ca.blocks = make(map[uint64]*list.Element)
	}
	for _, bl := range blocks {
		if _, found := ca.blocks[bl]; found {
			continue
		}
		ca.blocks[bl] = ca.order.PushFront(bl)
		ca.publish(now, bl, true)
	}
	for ca.order.Len() > ca.capacity {
		el := ca.order.Back()
		bl := ca.order.Remove(el).(uint64)
		delete(ca.blocks, bl)
		ca.publish(now, bl, false)
	}
}

func (ca *cache) publish(now time.Time, block uint64, stored bool) {
	const maxEvents = 4096
	ca.sequence++
	ca.events = append(ca.events, ml.CacheEvent{Sequence: ca.sequence, Block: block, Stored: stored, At: now})
	if len(ca.events) > maxEvents {
		ca.events = ca.events[len(ca.events)-maxEvents/2:]
	}
}

// eventsAfter returns the events after a sequence number that are older than
// delay. Every lossEvery-th event is missing.
func (ca *cache) eventsAfter(now time.Time, after int64, delay time.Duration, lossEvery int64) []ml.CacheEvent {
	out := []ml.CacheEvent{}
	for _, ev := range ca.events {
		lost := lossEvery > 0 && ev.Sequence%lossEvery == 0
		if ev.Sequence > after && !lost && now.Sub(ev.At) >= delay {
			out = append(out, ev)
		}
	}
	return out
}
