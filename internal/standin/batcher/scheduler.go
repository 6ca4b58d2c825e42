package batcher

import (
	"cmp"
	"slices"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/standin/answerer"
	"github.com/mulberrylever/mulberrylever/internal/standin/fleetreader"
)

// sequence is a request or a reservation that occupies the engine's memory.
type sequence struct {
	id            ml.GrantID
	kind          string // "stream", "kv" or "group"
	priority      int
	arrived       time.Time
	ended         time.Time // zero until finished
	promptTokens  ml.Tokens
	cachedTokens  ml.Tokens // prompt tokens found in the prefix cache
	prefillLeft   ml.Tokens // prompt tokens not yet processed
	memory        ml.Tokens // tokens of KV cache that it occupies
	admitted      bool      // its memory is reserved
	answer        answerer.Answerer
	startPosition ml.Tokens     // position after which the answer begins
	lastPosition  ml.Tokens     // position of the newest token
	maxPosition   ml.Tokens     // position of the last token
	blocks        []uint64      // hashes of the prompt blocks
	updated       chan struct{} // closed and replaced when a token is produced or the sequence is aborted
	aborted       bool          // cancelled, a group member failed, or the engine restarted
}

// done reports whether the last token has been produced.
func (se *sequence) done() bool { return se.lastPosition >= se.maxPosition }

// notify wakes the streams that wait for a token.
func (se *sequence) notify() {
	close(se.updated)
	se.updated = make(chan struct{})
}

// scheduler batches sequences. It admits them to memory in the order of priority
// and arrival, lowest priority number first. Each step processes up to ChunkTokens
// prompt tokens in the same order, and produces one token for each sequence whose
// prompt is processed.
type scheduler struct {
	mu               sync.Mutex
	config           fleetreader.EngineConfig
	endpoint         ml.Endpoint
	incarnation      ml.Incarnation
	sequences        map[ml.GrantID]*sequence
	cache            cache
	completedAnswers int
	asleep           bool
	fencing          ml.FencingNumber // highest one received with an order
	peakColdStreams  int              // highest number of concurrent streams seen while cold
}

// cold reports whether the engine has not yet completed WarmAfterAnswers answers.
func (sc *scheduler) cold() bool { return sc.completedAnswers < sc.config.WarmAfterAnswers }

// overloaded reports whether a cold engine exceeds ColdRequests or ColdTokens. It
// also updates peakColdStreams.
func (sc *scheduler) overloaded() bool {
	if !sc.cold() {
		return false
	}
	running, tokens := 0, ml.Tokens(0)
	for _, se := range sc.sequences {
		if se.kind == "stream" && se.ended.IsZero() {
			running++
			tokens += se.prefillLeft
		}
	}
	sc.peakColdStreams = max(sc.peakColdStreams, running)
	return running > sc.endpoint.ColdRequests || tokens > sc.endpoint.ColdTokens
}

// usedMemory returns the memory of all admitted, unfinished sequences.
func (sc *scheduler) usedMemory() ml.Tokens {
	used := ml.Tokens(0)
	for _, se := range sc.sequences {
		if se.admitted && se.ended.IsZero() {
			used += se.memory
		}
	}
	return used
}

// step is the work of one batch step.
type step struct {
	chunks   []chunk
	decoding []*sequence
	duration time.Duration
}

// chunk is the part of a prompt that is processed in one step.
type chunk struct {
	sequence *sequence
	tokens   ml.Tokens
}

// planStep admits sequences and selects the work of the next step. The step's
// duration is zero if there is no work.
func (sc *scheduler) planStep() step {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	queue := sc.sortedStreams()
	sc.admitToMemory(queue)
	st := step{}
	budget := ml.Tokens(sc.config.ChunkTokens)
	for _, se := range queue {
		switch {
		case !se.admitted:
		case se.prefillLeft == 0:
			st.decoding = append(st.decoding, se)
		case budget > 0:
			chunkTokens := min(se.prefillLeft, budget)
			budget -= chunkTokens
			st.chunks = append(st.chunks, chunk{se, chunkTokens})
		}
	}
	if len(st.decoding)+len(st.chunks) == 0 {
		return st
	}
	processed := float64(sc.config.ChunkTokens) - float64(budget)
	micros := float64(sc.config.BaseStepMicros+len(st.decoding)*sc.config.StepMicrosPerSequence) + processed/sc.config.PrefillRate*1e6
	st.duration = time.Duration(micros) * time.Microsecond
	return st
}

// applyStep publishes the results of a step when it ends. A sequence whose last
// prompt chunk was processed produces its first token in the same step.
func (sc *scheduler) applyStep(now time.Time, st step) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, ch := range st.chunks {
		ch.sequence.prefillLeft -= ch.tokens
		if ch.sequence.prefillLeft == 0 {
			sc.cache.store(now, ch.sequence.blocks)
			sc.produceToken(now, ch.sequence)
		}
	}
	for _, se := range st.decoding {
		sc.produceToken(now, se)
	}
	sc.removeExpired(now)
}

// produceToken adds one token to a sequence and finishes it at its last token.
func (sc *scheduler) produceToken(now time.Time, se *sequence) {
	if se.aborted || se.done() {
		return
	}
	se.lastPosition++
	if se.done() {
		se.ended = now
		sc.completedAnswers++
	}
	se.notify()
}

// sortedStreams returns the unfinished streams by priority and arrival.
func (sc *scheduler) sortedStreams() []*sequence {
	out := make([]*sequence, 0, len(sc.sequences))
	for _, se := range sc.sequences {
		if se.kind == "stream" && se.ended.IsZero() {
			out = append(out, se)
		}
	}
	slices.SortFunc(out, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.arrived.Compare(b.arrived))
	})
	return out
}

// admitToMemory reserves memory for the queued streams that fit, in order.
func (sc *scheduler) admitToMemory(queue []*sequence) {
	used := sc.usedMemory()
	for _, se := range queue {
		if se.admitted || used+se.memory > sc.endpoint.Memory {
			continue
		}
		se.admitted = true
		used += se.memory
	}
}

// removeExpired drops finished sequences that can no longer be resumed.
func (sc *scheduler) removeExpired(now time.Time) {
	retention := time.Duration(sc.config.StreamRetentionMs) * time.Millisecond
	for id, se := range sc.sequences {
		if !se.ended.IsZero() && now.Sub(se.ended) > retention {
			delete(sc.sequences, id)
		}
	}
}

// restart aborts all sequences and clears the cache, as the start of a new process
// does.
func (sc *scheduler) restart(in ml.Incarnation) {
	for _, se := range sc.sequences {
		se.aborted = true
		se.notify()
	}
	sc.sequences = make(map[ml.GrantID]*sequence)
	sc.cache = cache{capacity: sc.cache.capacity}
	sc.completedAnswers = 0
	sc.incarnation = in
}

// holds lists the memory of all unfinished sequences.
func (sc *scheduler) holds(now time.Time) []ml.Hold {
	out := []ml.Hold{}
	for _, se := range sc.sequences {
		if se.ended.IsZero() {
			out = append(out, ml.Hold{ID: se.id, Kind: se.kind, Tokens: se.memory, Prefill: se.prefillLeft, Age: now.Sub(se.arrived)})
		}
	}
	return out
}

// load returns the current load report.
func (sc *scheduler) load() ml.EngineLoad {
	lo := ml.EngineLoad{Incarnation: sc.incarnation, PrefillRate: sc.config.PrefillRate, MemoryUsed: sc.usedMemory(), Warm: !sc.cold()}
	for _, se := range sc.sequences {
		if se.kind == "stream" && se.ended.IsZero() {
			lo.Running++
			lo.QueuedPrefill += se.prefillLeft
		}
	}
	return lo
}
