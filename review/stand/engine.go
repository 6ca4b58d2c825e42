//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the model engines.
const (
	modelSlots  = 16
	modelQueue  = 32
	modelMemory = 315000
	eventTokens = 51
	// A step takes stepTime, stepPerAnswer for each answer that is being written, and
	// stepPerKiloToken for each thousand tokens of their contexts.
	stepTime, stepPerAnswer, stepPerKiloToken = 850 * time.Microsecond, 4250 * time.Nanosecond, 2850 * time.Nanosecond
	// prefillRate is in tokens per second, prefillPairs the time for a million pairs of tokens.
	prefillRate  = 177000.0
	prefillPairs = 184 * time.Microsecond
	// plainWork is the time that the plain services take for a request.
	plainWork  = 60 * time.Millisecond
	plainSlots = 6
)

// Run is a request on which an engine has begun to work.
type Run struct {
	Engine, Service, Attempt, Tenant, Path string
	At                                     time.Time
}

// ticket is memory that is set aside at an engine.
type ticket struct {
	tokens  int
	expires time.Time
	users   []string // attempts that use it
}

// Engine is a stand-in for an engine of a service.
type Engine struct {
	ID, Service, Zone, Address string
	// KeepsWorking means that the engine does not drop a request when its connection closes.
	KeepsWorking bool

	world   *World
	born    int64 // Unix milliseconds
	mu      sync.Mutex
	beats   int
	slots   chan struct{} // one entry for each request that runs
	waiting int
	context int // tokens of the prompts and answers that are being written
	tickets map[string]*ticket
	shared  []string // what happened when two requests used one ticket at the same time
	jobs    []*job   // in order of arrival
	runs    []Run
}

// startEngines starts engines of a service, each on an address of its own.
func (wo *World) startEngines(service string, n, firstHost int) ([]*Engine, error) {
	out := []*Engine{}
	for i := range n {
		slots := plainSlots
		if service == serviceModel {
			slots = modelSlots
		}
		en := &Engine{
			ID: fmt.Sprintf("i-%s-%d", service, firstHost+i), Service: service, Zone: zones[i%len(zones)], Address: wo.address(fmt.Sprintf("64.%d", firstHost+i), portEngine),
			world: wo, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), tickets: make(map[string]*ticket),
		}
		if err := wo.serve(en.Address, en); err != nil {
			return nil, err
		}
		wo.mu.Lock()
		if wo.engines == nil {
			wo.engines = make(map[string]*Engine)
		}
		wo.engines[en.Address] = en
		wo.mu.Unlock()
		en.register()
		go en.beat()
		if service == serviceModel {
			go en.work()
		}
		out = append(out, en)
	}
	return out, nil
}

// register writes the engine's entry to the store, and reports whether it was accepted.
func (en *Engine) register() bool {
	en.mu.Lock()
	en.beats++
	beats := en.beats
	en.mu.Unlock()
	value, err := json.Marshal(map[string]any{
		"service": en.Service, "address": en.Address, "zone": en.Zone, "version": "1", "slots": cap(en.slots), "state": "ready",
		"coldRemainingMs": 0, "sequence": beats, "born": en.born,
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	_, accepted := en.world.Store.Put("keyed.servers", en.ID, value)
	return accepted
}

// beat renews the entry. While the store is away, it tries again soon.
func (en *Engine) beat() {
	const retryTime = 100 * time.Millisecond
	for {
		pause := heartbeat
		if !en.register() {
			pause = retryTime
		}
		time.Sleep(pause)
	}
}

// Runs returns the requests that the engine has run.
func (en *Engine) Runs() []Run {
	en.mu.Lock()
	defer en.mu.Unlock()
	return append([]Run(nil), en.runs...)
}

// ServeHTTP implements http.Handler.
func (en *Engine) ServeHTTP(wr http.ResponseWriter, hr *http.Request) {
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the request is not whole
	}
	he := wr.Header()
	he.Set("X-Mulberrylever-Instance-Id", en.ID)
	if target := hr.Header.Get("X-Mulberrylever-Target-Instance"); target != "" && target != en.ID {
		he.Set("X-Mulberrylever-Attempt-Id", hr.Header.Get("X-Mulberrylever-Attempt-Id"))
		he.Set("X-Mulberrylever-Not-Executed", "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case hr.URL.Path == "/health":
	case hr.URL.Path == "/order":
		en.order(wr, body)
	case hr.Header.Get("X-Mulberrylever-Attempt-Id") == "":
		he.Set("X-Mulberrylever-Not-Executed", "1")
		wr.WriteHeader(http.StatusBadRequest)
	default:
		en.serve(wr, hr)
	}
}

// serve takes a request into a slot, lets it wait for one, or turns it away.
func (en *Engine) serve(wr http.ResponseWriter, hr *http.Request) {
	he, attempt := wr.Header(), hr.Header.Get("X-Mulberrylever-Attempt-Id")
	he.Set("X-Mulberrylever-Attempt-Id", attempt)
	limit, err := strconv.Atoi(hr.Header.Get("X-Mulberrylever-Deadline-Ms"))
	if err != nil {
		limit = 60_000
	}
	deadline := time.After(time.Duration(limit) * time.Millisecond)
	if !en.enter(hr, deadline) {
		en.world.record("engine %s: turned %s away", en.ID, attempt)
		he.Set("X-Mulberrylever-Not-Executed", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-en.slots }()
	en.mu.Lock()
	en.runs = append(en.runs, Run{en.ID, en.Service, attempt, hr.Header.Get("X-Mulberrylever-Tenant"), hr.URL.Path, time.Now()})
	en.mu.Unlock()
	en.world.record("engine %s: runs %s for tenant %s, path %s", en.ID, attempt, hr.Header.Get("X-Mulberrylever-Tenant"), hr.URL.Path)
	he.Set("X-Mulberrylever-Response-Seal", "3e1b.07."+attempt)
	he.Set("X-Mulberrylever-Server-Load", fmt.Sprintf("%d,%d,%d", len(en.slots), en.waiting, cap(en.slots)))
	if en.Service == serviceModel {
		en.stream(wr, hr, deadline)
		return
	}
	select {
	case <-time.After(plainWork):
		_, _ = io.WriteString(wr, "done by "+en.ID+" for "+attempt)
	case <-deadline:
		wr.WriteHeader(http.StatusGatewayTimeout)
	case <-hr.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// enter waits for a slot, and reports whether the request has one.
func (en *Engine) enter(hr *http.Request, deadline <-chan time.Time) bool {
	select {
	case en.slots <- struct{}{}:
		return true
	default:
	}
	en.mu.Lock()
	isFull := en.waiting >= modelQueue
	if !isFull {
		en.waiting++
	}
	en.mu.Unlock()
	if isFull {
		return false
	}
	defer func() {
		en.mu.Lock()
		en.waiting--
		en.mu.Unlock()
	}()
	select {
	case en.slots <- struct{}{}:
		return true
	case <-deadline:
	case <-hr.Context().Done():
	}
	return false
}

// stream has the prompt read, and sends the answer as events of eventTokens tokens each.
func (en *Engine) stream(wr http.ResponseWriter, hr *http.Request, deadline <-chan time.Time) {
	promptText, answerText, _ := strings.Cut(hr.Header.Get("X-Mulberrylever-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(promptText) // none is 0
	answer, _ := strconv.Atoi(answerText)
	last, _ := strconv.Atoi(hr.Header.Get("Last-Event-Id"))
	attempt, written := hr.Header.Get("X-Mulberrylever-Attempt-Id"), 0
	helpers, found := en.useTickets(attempt, hr.Header.Get("X-Mulberrylever-Helpers"))
	defer helpers.leave(attempt)
	if !found {
		wr.Header().Del("X-Mulberrylever-Response-Seal")
		wr.Header().Set("X-Mulberrylever-Not-Executed", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	left := hr.Context().Done()
	if en.KeepsWorking {
		left = nil
	}
	parts := 1 + len(helpers)
	jo := newJob(prompt, parts)
	en.addJob(jo)
	defer en.removeJob(jo)
	en.addContext(prompt)
	defer func() { en.addContext(-prompt - written) }()
	wr.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; (i-1)*eventTokens < answer; i++ {
		select {
		case <-jo.events:
		case <-deadline:
			panic(http.ErrAbortHandler)
		case <-left:
			panic(http.ErrAbortHandler)
		}
		if helpers.hasExpired(time.Now()) {
			en.world.record("engine %s: cuts %s off, its memory has expired", en.ID, attempt)
			panic(http.ErrAbortHandler)
		}
		written += eventTokens
		en.addContext(eventTokens)
		fmt.Fprintf(wr, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 40))
		if http.NewResponseController(wr).Flush() != nil && !en.KeepsWorking {
			panic(http.ErrAbortHandler)
		}
	}
}

func (en *Engine) addContext(tokens int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.context += tokens
}

// step returns the time in which each answer gets one more token.
func (en *Engine) step() time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	return stepTime + time.Duration(len(en.slots))*stepPerAnswer + time.Duration(en.context/1000)*stepPerKiloToken
}
