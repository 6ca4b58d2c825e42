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

// maxBodyBytes bounds a request body. It leaves room for a prompt of a million
// tokens.
const maxBodyBytes = 32 << 20

// headerIncarnation carries, in a request, the only incarnation of the engine that
// may run it, and, in an answer, the engine's current incarnation.
const headerIncarnation = "X-Incarnation"

// completionRequest is the body of a completion request. It extends the common
// fields with request_id, position, priority and group.
type completionRequest struct {
	Model     ml.ModelID       `json:"model"`
	Prompt    string           `json:"prompt"`
	MaxTokens ml.Tokens        `json:"max_tokens"`
	RequestID ml.GrantID       `json:"request_id"`
	Position  ml.Tokens        `json:"position"`
	Priority  int              `json:"priority"`
	Group     []ml.GroupMember `json:"group"`
}

// holdRequest reserves memory for an imported KV cache or for a group member's
// share of a sequence. It is also the answer to a KV export.
type holdRequest struct {
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
	mux.HandleFunc("POST /chaos/cold", ba.restartCold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// complete starts a sequence and streams its answer.
func (ba *Batcher) complete(w http.ResponseWriter, r *http.Request) {
	cr := completionRequest{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&cr); err != nil {
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

// start adds a sequence, or returns the existing one of the same request id. It
// returns an HTTP status and an error if the engine cannot run the request, or if
// required names another incarnation. It calls OnColdOverload if the sequence
// overloads a cold engine.
func (ba *Batcher) start(now time.Time, cr completionRequest, required ml.Incarnation) (*sequence, int, error) {
	blocks := blockHashes(cr.Prompt)
	tokens := ml.EstimateTokens(cr.Prompt)
	memberTokens := ml.Tokens(0)
	for _, gm := range cr.Group {
		memberTokens += gm.Tokens
	}
	se := &sequence{
		id: cr.RequestID, kind: "stream", priority: cr.Priority, arrived: now, promptTokens: tokens,
		memory: max(tokens+cr.MaxTokens-memberTokens, 1), answer: answerer.New(cr.Prompt),
		startPosition: cr.Position, lastPosition: cr.Position, maxPosition: cr.MaxTokens, blocks: blocks, updated: make(chan struct{}),
	}
	sc := &ba.scheduler
	sc.mu.Lock()
	defer sc.mu.Unlock()
	switch {
	case sc.asleep:
		return nil, http.StatusServiceUnavailable, fmt.Errorf("engine %q is switched off", ba.Endpoint.ID)
	case required != "" && required != sc.incarnation:
		return nil, http.StatusPreconditionFailed, fmt.Errorf("meant for incarnation %q, this is %q", required, sc.incarnation)
	case cr.Model != ba.Endpoint.Model:
		return nil, http.StatusNotFound, fmt.Errorf("model %q is not loaded", cr.Model)
	case se.memory > ba.Endpoint.Memory:
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("%d tokens do not fit in %d", se.memory, ba.Endpoint.Memory)
	case cr.MaxTokens <= cr.Position || cr.RequestID == "":
		return nil, http.StatusBadRequest, fmt.Errorf("max_tokens %d, position %d, request_id %q", cr.MaxTokens, cr.Position, cr.RequestID)
	}
	if existing, found := sc.sequences[cr.RequestID]; found {
		return existing, http.StatusOK, nil
	}
	se.cachedTokens = min(ml.Tokens(sc.cache.matchPrefix(blocks)*blockTokens), tokens-1)
	// The members of a group process the prompt in parallel.
	se.prefillLeft = max((tokens-se.cachedTokens)/ml.Tokens(1+len(cr.Group)), 1)
	sc.sequences[se.id] = se
	if sc.overloaded() {
		ba.OnColdOverload(sc.peakColdStreams)
	}
	return se, http.StatusOK, nil
}

// resume streams the rest of an answer after a position.
func (ba *Batcher) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	ba.scheduler.mu.Lock()
	se := ba.scheduler.sequences[ml.GrantID(r.PathValue("id"))]
	ba.scheduler.mu.Unlock()
	if se == nil || se.kind != "stream" || ml.Tokens(after) < se.startPosition {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	ba.stream(w, r, se, ml.Tokens(after))
}

// stream writes the answer after a position as server-sent events. It closes the
// connection without an end if the sequence is aborted.
func (ba *Batcher) stream(w http.ResponseWriter, r *http.Request, se *sequence, after ml.Tokens) {
	ba.scheduler.mu.Lock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerIncarnation, string(ba.scheduler.incarnation))
	ba.scheduler.mu.Unlock()
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	for position := after; position < se.maxPosition; {
		ba.scheduler.mu.Lock()
		lastPosition, updated, aborted := se.lastPosition, se.updated, se.aborted
		ba.scheduler.mu.Unlock()
		if aborted {
			panic(http.ErrAbortHandler)
		}
		for ; position < lastPosition; position++ {
			writeToken(w, se, position+1)
		}
		if err := rc.Flush(); err != nil {
			return
		}
		if position >= se.maxPosition {
			break
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// writeToken writes the event of one token. The last one carries the usage.
func writeToken(w io.Writer, se *sequence, position ml.Tokens) {
	text := strconv.Quote(se.answer.Token(int64(position)))
	if position < se.maxPosition {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"text\":%s,\"finish_reason\":null}]}\n\n", position, text)
		return
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"text\":%s,\"finish_reason\":\"length\"}],"+
		"\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n",
		position, text, se.promptTokens, se.maxPosition, se.cachedTokens)
}

// cancel aborts a sequence or releases a hold.
func (ba *Batcher) cancel(w http.ResponseWriter, r *http.Request) {
	id := ml.GrantID(r.PathValue("id"))
	ba.scheduler.mu.Lock()
	defer ba.scheduler.mu.Unlock()
	if se := ba.scheduler.sequences[id]; se != nil {
		se.aborted = true
		se.notify()
		delete(ba.scheduler.sequences, id)
	}
	w.WriteHeader(http.StatusNoContent)
}

// hold reserves memory. Repeating a request with the same id has no effect.
func (ba *Batcher) hold(w http.ResponseWriter, r *http.Request) {
	hr := holdRequest{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&hr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ba.scheduler.mu.Lock()
	defer ba.scheduler.mu.Unlock()
	if _, found := ba.scheduler.sequences[hr.ID]; found {
		return
	}
	if ba.scheduler.asleep || ba.scheduler.usedMemory()+hr.Tokens > ba.Endpoint.Memory {
		http.Error(w, "no memory", http.StatusInsufficientStorage)
		return
	}
	ba.scheduler.sequences[hr.ID] = &sequence{
		id: hr.ID, kind: hr.Kind, arrived: time.Now(), memory: hr.Tokens, admitted: true, updated: make(chan struct{}),
	}
}

// exportKV holds memory for a copy of a stream's KV cache.
func (ba *Batcher) exportKV(w http.ResponseWriter, r *http.Request) {
	hr := holdRequest{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&hr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ba.scheduler.mu.Lock()
	defer ba.scheduler.mu.Unlock()
	se := ba.scheduler.sequences[hr.ID]
	if se == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	export := &sequence{
		id: hr.ID + "/kv", kind: "kv", arrived: time.Now(), memory: se.promptTokens, admitted: true, updated: make(chan struct{}),
	}
	ba.scheduler.sequences[export.id] = export
	writeJSON(w, holdRequest{ID: export.id, Kind: export.kind, Tokens: export.memory})
}

// listHolds returns the incarnation and all holds. It fails while the engine is
// switched off.
func (ba *Batcher) listHolds(w http.ResponseWriter, _ *http.Request) {
	ba.scheduler.mu.Lock()
	re := ml.EngineReport{Incarnation: ba.scheduler.incarnation, Holds: ba.scheduler.holds(time.Now())}
	asleep := ba.scheduler.asleep
	ba.scheduler.mu.Unlock()
	if asleep {
		http.Error(w, "switched off", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, re)
}

// showLoad returns a load report that is LoadLagMs old.
func (ba *Batcher) showLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, ba.reports.lagged(time.Duration(ba.scheduler.config.LoadLagMs)*time.Millisecond))
}

// cacheEvents returns the cache events after a sequence number, delayed and with
// gaps as configured.
func (ba *Batcher) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	delay := time.Duration(ba.scheduler.config.CacheEventDelayMs) * time.Millisecond
	ba.scheduler.mu.Lock()
	evs := ba.scheduler.cache.eventsAfter(time.Now(), after, delay, int64(ba.scheduler.config.DropEveryNthCacheEvent))
	ba.scheduler.mu.Unlock()
	writeJSON(w, evs)
}

// order executes an order to sleep or to wake. It rejects an order with an old
// fencing number if the endpoint checks them.
func (ba *Batcher) order(w http.ResponseWriter, r *http.Request) {
	or := ml.Order{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&or); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ba.scheduler.mu.Lock()
	stale := ba.Endpoint.ChecksFencing && or.Fencing < ba.scheduler.fencing
	ba.scheduler.fencing = max(ba.scheduler.fencing, or.Fencing)
	asleep := ba.scheduler.asleep
	ba.scheduler.mu.Unlock()
	if stale {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if or.Action == "sleep" {
		ba.scheduler.mu.Lock()
		ba.scheduler.restart(newIncarnation())
		ba.scheduler.asleep = true
		ba.scheduler.mu.Unlock()
	}
	if or.Action == "wake" && asleep {
		go ba.runWake(context.WithoutCancel(r.Context()))
	}
	w.WriteHeader(http.StatusAccepted)
}

// runWake fetches the weights, waits for WakeDelayMs and starts the engine in the
// cold state.
func (ba *Batcher) runWake(ctx context.Context) {
	const timeout = 5 * time.Minute
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/weights/%s?megabytes=%d", ba.Fleet.Platform.Address, ba.Endpoint.Model, ba.Fleet.Engine.WeightsMB)
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	rs, err := http.DefaultClient.Do(re)
	if err != nil {
		ba.Log.Error("fetching weights failed", "error", err)
		return
	}
	_ = rs.Body.Close()
	time.Sleep(time.Duration(ba.scheduler.config.WakeDelayMs) * time.Millisecond)
	ba.scheduler.mu.Lock()
	ba.scheduler.restart(newIncarnation())
	ba.scheduler.asleep = false
	ba.scheduler.mu.Unlock()
}

// restartCold simulates a crash and restart: the engine is cold afterwards.
func (ba *Batcher) restartCold(http.ResponseWriter, *http.Request) {
	ba.scheduler.mu.Lock()
	ba.scheduler.restart(newIncarnation())
	ba.scheduler.mu.Unlock()
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
