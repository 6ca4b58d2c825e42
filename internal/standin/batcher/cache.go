package batcher

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
)

// blockTokens is the size of a prefix cache block.
const blockTokens = 1024

// cache is a prefix cache with least-recently-used eviction.
type cache struct {
	capacity     int // blocks
	lru          list.List
	blocks       map[uint64]*list.Element
	events       []ml.CacheEvent // newest last
	lastSequence int64
}

// blockHashes returns, for each complete block of prompt, the hash of the prompt
// up to the end of that block. A token is estimated at four bytes.
func blockHashes(prompt string) []uint64 {
	const blockBytes = blockTokens * 4
	di := xxhash.New()
	out := make([]uint64, 0, len(prompt)/blockBytes)
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = di.WriteString(prompt[end-blockBytes : end])
		out = append(out, di.Sum64())
	}
	return out
}

// matchPrefix returns the number of leading blocks that are cached and marks them
// as recently used.
func (ca *cache) matchPrefix(blocks []uint64) int {
	for i, block := range blocks {
		element, found := ca.blocks[block]
		if !found {
			return i
		}
		ca.lru.MoveToFront(element)
	}
	return len(blocks)
}

// store adds blocks and evicts the least recently used ones over capacity.
func (ca *cache) store(now time.Time, blocks []uint64) {
	if ca.blocks == nil {
		ca.blocks = make(map[uint64]*list.Element)
	}
	for _, block := range blocks {
		if _, found := ca.blocks[block]; found {
			continue
		}
		ca.blocks[block] = ca.lru.PushFront(block)
		ca.appendEvent(now, block, true)
	}
	for ca.lru.Len() > ca.capacity {
		element := ca.lru.Back()
		block := ca.lru.Remove(element).(uint64)
		delete(ca.blocks, block)
		ca.appendEvent(now, block, false)
	}
}

// appendEvent records a stored or evicted block. It keeps a bounded number of
// events.
func (ca *cache) appendEvent(now time.Time, block uint64, stored bool) {
	const maxEvents = 4096
	ca.lastSequence++
	ca.events = append(ca.events, ml.CacheEvent{Sequence: ca.lastSequence, Block: block, Stored: stored, At: now})
	if len(ca.events) > maxEvents {
		ca.events = ca.events[len(ca.events)-maxEvents/2:]
	}
}

// eventsAfter returns the events after a sequence number that are at least delay
// old. It drops every dropEvery-th event, and none if dropEvery is 0.
func (ca *cache) eventsAfter(now time.Time, after int64, delay time.Duration, dropEvery int64) []ml.CacheEvent {
	out := []ml.CacheEvent{}
	for _, ev := range ca.events {
		dropped := dropEvery > 0 && ev.Sequence%dropEvery == 0
		if ev.Sequence > after && !dropped && now.Sub(ev.At) >= delay {
			out = append(out, ev)
		}
	}
	return out
}
