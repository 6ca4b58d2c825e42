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

// sequence is one request in the engine.
type sequence struct {
	id       ml.GrantID
	kind     string // "stream", "kv" or "group"
	priority int
	arrived  time.Time
	ended    time.Time // zero while it runs
	prompt   ml.Tokens
	cached   ml.Tokens
	prefill  ml.Tokens // prompt tokens not yet processed
	memory   ml.Tokens
	admitted bool // has its memory
	answer   answerer.Answerer
	start    ml.Tokens // position it began after
	produced ml.Tokens // position of the newest token
	limit    ml.Tokens
	blocks   []uint64
	changed  chan struct{} // closed and replaced at each new token
	gone     bool          // cancelled, or the engine restarted
}

func (se *sequence) done() bool { return se.produced >= se.limit }

func (se *sequence) wake() {
	close(se.changed)
	se.changed = make(chan struct{})
}

// scheduler batches sequences: it admits them to memory by priority and
// arrival, processes one chunk of prompts per step, lowest priority number
// first, and produces one token for each sequence whose prompt is done.
type scheduler struct {
	mu          sync.Mutex
	model       fleetreader.EngineConfig
	endpoint    ml.Endpoint
	incarnation ml.Incarnation
	sequences   map[ml.GrantID]*sequence
	cache       cache
	finished    int
	asleep      bool
	fencing     ml.FencingNumber
	peak        int // most streams at once while cold
}

func (sc *scheduler) cold() bool { return sc.finished < sc.model.WarmAfter }

// overloaded tells whether a cold engine carries more than it can.
func (sc *scheduler) overloaded() bool {
	if !sc.cold() {
		return false
	}
	running, tokens := 0, ml.Tokens(0)
	for _, se := range sc.sequences {
		if se.kind == "stream" && se.ended.IsZero() {
			running++
			tokens += se.prefill
		}
	}
	sc.peak = max(sc.peak, running)
	return running > sc.endpoint.ColdRequests || tokens > sc.endpoint.ColdTokens
}

func (sc *scheduler) used() ml.Tokens {
	used := ml.Tokens(0)
	for _, se := range sc.sequences {
		if se.admitted && se.ended.IsZero() {
			used += se.memory
		}
	}
	return used
}

// work is what one step of the batch does.
type work struct {
	chunks []chunk
	batch  []*sequence
	length time.Duration
}

// chunk is a part of a prompt processed in one step.
type chunk struct {
	of     *sequence
	tokens ml.Tokens
}

// plan picks the work of the next step. The step's length is zero when there
// is nothing to do.
func (sc *scheduler) plan() work {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	queue := sc.queue()
	sc.admit(queue)
	wo := work{}
	budget := ml.Tokens(sc.model.ChunkTokens)
	for _, se := range queue {
		switch {
		case !se.admitted:
		case se.prefill == 0:
			wo.batch = append(wo.batch, se)
		case budget > 0:
			part := min(se.prefill, budget)
			budget -= part
			wo.chunks = append(wo.chunks, chunk{se, part})
		}
	}
	if len(wo.batch)+len(wo.chunks) == 0 {
		return wo
	}
	processed := float64(sc.model.ChunkTokens) - float64(budget)
	micros := float64(sc.model.StepMicros+len(wo.batch)*sc.model.SequenceMicros) + processed/sc.model.PrefillRate*1e6
	wo.length = time.Duration(micros) * time.Microsecond
	return wo
}

// apply makes the results of a step visible at its end. A prompt whose last
// chunk was processed produces its first token in the same step.
func (sc *scheduler) apply(now time.Time, wo work) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, ch := range wo.chunks {
		ch.of.prefill -= ch.tokens
		if ch.of.prefill == 0 {
			sc.cache.store(now, ch.of.blocks)
			sc.produce(now, ch.of)
		}
	}
	for _, se := range wo.batch {
		sc.produce(now, se)
	}
	sc.forget(now)
}

func (sc *scheduler) produce(now time.Time, se *sequence) {
	if se.gone || se.done() {
		return
	}
	se.produced++
	if se.done() {
		se.ended = now
		sc.finished++
	}
	se.wake()
}

func (sc *scheduler) queue() []*sequence {
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

func (sc *scheduler) admit(queue []*sequence) {
	used := sc.used()
	for _, se := range queue {
		if se.admitted || used+se.memory > sc.endpoint.Memory {
			continue
		}
		se.admitted = true
		used += se.memory
	}
}

func (sc *scheduler) forget(now time.Time) {
	linger := time.Duration(sc.model.StreamRetentionMs) * time.Millisecond
	for id, se := range sc.sequences {
		if !se.ended.IsZero() && now.Sub(se.ended) > linger {
			delete(sc.sequences, id)
		}
	}
}

// restart drops everything, as a new process would.
func (sc *scheduler) restart(in ml.Incarnation) {
	for _, se := range sc.sequences {
		se.gone = true
		se.wake()
	}
	sc.sequences = make(map[ml.GrantID]*sequence)
	sc.cache = cache{capacity: sc.cache.capacity}
	sc.finished = 0
	sc.incarnation = in
}

func (sc *scheduler) holds(now time.Time) []ml.Hold {
	out := []ml.Hold{}
	for _, se := range sc.sequences {
		if se.ended.IsZero() {
			out = append(out, ml.Hold{ID: se.id, Kind: se.kind, Tokens: se.memory, Prefill: se.prefill, Age: now.Sub(se.arrived)})
		}
	}
	return out
}

func (sc *scheduler) load() ml.EngineLoad {
	lo := ml.EngineLoad{Incarnation: sc.incarnation, PrefillRate: sc.model.PrefillRate, MemoryUsed: sc.used(), Warm: !sc.cold()}
	for _, se := range sc.sequences {
		if se.kind == "stream" && se.ended.IsZero() {
			lo.Running++
			lo.QueuedPrefill += se.prefill
		}
	}
	return lo
}
