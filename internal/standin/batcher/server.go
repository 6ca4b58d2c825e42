package batcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/standin/answerer"
)

// maxBody bounds a request: a million tokens of prompt and some room.
const maxBody = 32 << 20

// headerIncarnation names, in a request, the only life of the engine in which it
// may run, and in an answer the life in which it runs.
const headerIncarnation = "X-Incarnation"

// completionRequest is the body of a completion, with the engine's extensions.
type completionRequest struct {
	Model     ml.ModelID       `json:"model"`
	Prompt    string           `json:"prompt"`
	MaxTokens ml.Tokens        `json:"max_tokens"`
	RequestID ml.GrantID       `json:"request_id"`
	Position  ml.Tokens        `json:"position"`
	Priority  int              `json:"priority"`
	Group     []ml.GroupMember `json:"group"`
}

// newHold asks for memory for an imported KV cache or a member of a group.
type newHold struct {
	ID     ml.GrantID `json:"id"`
	Kind   string     `json:"kind"`
	Tokens ml.Tokens  `json:"tokens"`
}

func (ba *Batcher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", ba.complete)
	mux.HandleFunc("GET /v1/streams/{id}", ba.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", ba.cancel)
	mux.HandleFunc("POST /v1/holds", ba.hold)
	mux.HandleFunc("GET /v1/holds", ba.listHolds)
	mux.HandleFunc("GET /v1/load", ba.showLoad)
	mux.HandleFunc("GET /v1/cache/events", ba.cacheEvents)
	mux.HandleFunc("POST /v1/kv/export", ba.exportKV)
	mux.HandleFunc("POST /v1/orders", ba.order)
	mux.HandleFunc("POST /chaos/cold", ba.turnCold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (ba *Batcher) complete(w http.ResponseWriter, r *http.Request) {
	cr := completionRequest{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&cr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	se, status, err := ba.start(time.Now(), cr, ml.Incarnation(r.Header.Get(headerIncarnation)))
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if len(cr.Group) > 0 {
		go ba.runWatchGroup(se, cr.Group)
	}
	ba.stream(w, r, se, cr.Position)
}

// start adds a sequence, unless it is meant for another life of the engine. An
// overloaded cold engine ends here.
func (ba *Batcher) start(now time.Time, cr completionRequest, meantFor ml.Incarnation) (*sequence, int, error) {
	blocks := blockHashes(cr.Prompt)
	tokens := ml.EstimateTokens(cr.Prompt)
	elsewhere := ml.Tokens(0)
	for _, gm := range cr.Group {
		elsewhere += gm.Tokens
	}
	se := &sequence{
		id: cr.RequestID, kind: "stream", priority: cr.Priority, arrived: now, prompt: tokens,
		memory: max(tokens+cr.MaxTokens-elsewhere, 1), answer: answerer.New(cr.Prompt),
		start: cr.Position, produced: cr.Position, limit: cr.MaxTokens, blocks: blocks, changed: make(chan struct{}),
	}
	sc := &ba.sc
	sc.mu.Lock()
	defer sc.mu.Unlock()
	switch {
	case sc.asleep:
		return nil, http.StatusServiceUnavailable, fmt.Errorf("engine %q is switched off", ba.Endpoint.ID)
	case meantFor != "" && meantFor != sc.incarnation:
		return nil, http.StatusPreconditionFailed, fmt.Errorf("meant for incarnation %q, this is %q", meantFor, sc.incarnation)
	case cr.Model != ba.Endpoint.Model:
		return nil, http.StatusNotFound, fmt.Errorf("model %q is not loaded", cr.Model)
	case se.memory > ba.Endpoint.Memory:
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("%d tokens do not fit in %d", se.memory, ba.Endpoint.Memory)
	case cr.MaxTokens <= cr.Position || cr.RequestID == "":
		return nil, http.StatusBadRequest, fmt.Errorf("max_tokens %d, position %d, request_id %q", cr.MaxTokens, cr.Position, cr.RequestID)
	}
	if old, found := sc.sequences[cr.RequestID]; found {
		return old, http.StatusOK, nil
	}
	se.cached = min(ml.Tokens(sc.cache.match(blocks)*blockTokens), tokens-1)
	// Members of a group process the prompt side by side.
	se.prefill = max((tokens-se.cached)/ml.Tokens(1+len(cr.Group)), 1)
	sc.sequences[se.id] = se
	if sc.overloaded() {
		ba.OnColdOverload(sc.peak)
	}
	return se, http.StatusOK, nil
}

func (ba *Batcher) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	ba.sc.mu.Lock()
	se := ba.sc.sequences[ml.GrantID(r.PathValue("id"))]
	ba.sc.mu.Unlock()
	if se == nil || se.kind != "stream" || ml.Tokens(after) < se.start {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	ba.stream(w, r, se, ml.Tokens(after))
}

// stream writes the answer after a position as server-sent events.
func (ba *Batcher) stream(w http.ResponseWriter, r *http.Request, se *sequence, after ml.Tokens) {
	ba.sc.mu.Lock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerIncarnation, string(ba.sc.incarnation))
	ba.sc.mu.Unlock()
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	for position := after; position < se.limit; {
		ba.sc.mu.Lock()
		produced, changed, gone := se.produced, se.changed, se.gone
		ba.sc.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler)
		}
		for ; position < produced; position++ {
			writeToken(w, se, position+1)
		}
		if err := rc.Flush(); err != nil {
			return
		}
		if position >= se.limit {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func writeToken(w io.Writer, se *sequence, position ml.Tokens) {
	text := strconv.Quote(se.answer.Token(int64(position)))
	if position < se.limit {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"text\":%s,\"finish_reason\":null}]}\n\n", position, text)
		return
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"text\":%s,\"finish_reason\":\"length\"}],"+
		"\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n",
		position, text, se.prompt, se.limit, se.cached)
}

func (ba *Batcher) cancel(w http.ResponseWriter, r *http.Request) {
	id := ml.GrantID(r.PathValue("id"))
	ba.sc.mu.Lock()
	defer ba.sc.mu.Unlock()
	if se := ba.sc.sequences[id]; se != nil {
		se.gone = true
		se.wake()
		delete(ba.sc.sequences, id)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (ba *Batcher) hold(w http.ResponseWriter, r *http.Request) {
	nh := newHold{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&nh); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ba.sc.mu.Lock()
	defer ba.sc.mu.Unlock()
	if _, found := ba.sc.sequences[nh.ID]; found {
		return
	}
	if ba.sc.asleep || ba.sc.used()+nh.Tokens > ba.Endpoint.Memory {
		http.Error(w, "no memory", http.StatusInsufficientStorage)
		return
	}
	ba.sc.sequences[nh.ID] = &sequence{
		id: nh.ID, kind: nh.Kind, arrived: time.Now(), memory: nh.Tokens, admitted: true, changed: make(chan struct{}),
	}
}

func (ba *Batcher) exportKV(w http.ResponseWriter, r *http.Request) {
	nh := newHold{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&nh); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ba.sc.mu.Lock()
	defer ba.sc.mu.Unlock()
	se := ba.sc.sequences[nh.ID]
	if se == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	export := &sequence{
		id: nh.ID + "/kv", kind: "kv", arrived: time.Now(), memory: se.prompt, admitted: true, changed: make(chan struct{}),
	}
	ba.sc.sequences[export.id] = export
	writeJSON(w, newHold{ID: export.id, Kind: export.kind, Tokens: export.memory})
}

func (ba *Batcher) listHolds(w http.ResponseWriter, _ *http.Request) {
	ba.sc.mu.Lock()
	re := ml.EngineReport{Incarnation: ba.sc.incarnation, Holds: ba.sc.holds(time.Now())}
	asleep := ba.sc.asleep
	ba.sc.mu.Unlock()
	if asleep {
		http.Error(w, "switched off", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, re)
}

func (ba *Batcher) showLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, ba.reports.lagged(time.Duration(ba.sc.model.LoadLagMs)*time.Millisecond))
}

func (ba *Batcher) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	delay := time.Duration(ba.sc.model.EventDelayMs) * time.Millisecond
	ba.sc.mu.Lock()
	evs := ba.sc.cache.eventsAfter(time.Now(), after, delay, int64(ba.sc.model.EventLossEvery))
	ba.sc.mu.Unlock()
	writeJSON(w, evs)
}

func (ba *Batcher) order(w http.ResponseWriter, r *http.Request) {
	or := ml.Order{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&or); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ba.sc.mu.Lock()
	old := ba.Endpoint.ChecksFencing && or.Fencing < ba.sc.fencing
	ba.sc.fencing = max(ba.sc.fencing, or.Fencing)
	asleep := ba.sc.asleep
	ba.sc.mu.Unlock()
	if old {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if or.Action == "sleep" {
		ba.sc.mu.Lock()
		ba.sc.restart(newIncarnation())
		ba.sc.asleep = true
		ba.sc.mu.Unlock()
	}
	if or.Action == "wake" && asleep {
		go ba.runWake(context.WithoutCancel(r.Context()))
	}
	w.WriteHeader(http.StatusAccepted)
}

// runWake fetches the weights and opens the engine in its cold state.
func (ba *Batcher) runWake(ctx context.Context) {
	const limit = 5 * time.Minute
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	url := fmt.Sprintf("http://%s/weights/%s?megabytes=%d", ba.Fleet.Platform.Address, ba.Endpoint.Model, ba.Fleet.Engine.WeightsMegabyte)
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	rs, err := http.DefaultClient.Do(re)
	if err != nil {
		ba.Log.Error("fetch weights", "error", err)
		return
	}
	_ = rs.Body.Close()
	time.Sleep(time.Duration(ba.sc.model.WakeMs) * time.Millisecond)
	ba.sc.mu.Lock()
	ba.sc.restart(newIncarnation())
	ba.sc.asleep = false
	ba.sc.mu.Unlock()
}

// turnCold restarts the engine without warning.
func (ba *Batcher) turnCold(http.ResponseWriter, *http.Request) {
	ba.sc.mu.Lock()
	ba.sc.restart(newIncarnation())
	ba.sc.mu.Unlock()
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
