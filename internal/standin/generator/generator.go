package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

// Outcome classifies how a request ended.
type Outcome string

// The outcomes. Only OK, Refused and Failed are acceptable.
const (
	OK             Outcome = "ok"      // the complete and correct answer
	Refused        Outcome = "refused" // an error which states that the request did not run
	Failed         Outcome = "failed"  // any other error, received in time
	TimedOut       Outcome = "late"    // no end within the timeout
	WrongAnswer    Outcome = "wrong"   // the answer does not belong to this request
	Truncated      Outcome = "short"   // the answer ended normally with a wrong number of tokens
	ConnectionLost Outcome = "broken"  // the connection was lost and no further attempt got an answer
	RanTwice       Outcome = "twice"   // a non-idempotent call ran more than once
	FalseNotRun    Outcome = "notTrue" // an error stated that the request did not run, but it did
)

// Result is the record of one request.
type Result struct {
	Number        int          `json:"number"`
	ScheduledAtMs int64        `json:"atMs"` // planned start, from the start of the run
	Kind          string       `json:"kind"`
	Team          string       `json:"team"`
	Tokens        int          `json:"tokens,omitempty"` // length of the prompt
	Outcome       Outcome      `json:"outcome"`
	Type          ml.ErrorType `json:"type,omitempty"`
	Message       string       `json:"message,omitempty"`
	Status        int          `json:"status,omitempty"`
	TTFTMs        float64      `json:"ttftMs,omitempty"`
	InterTokenMs  float64      `json:"betweenMs,omitempty"` // mean time between tokens
	TotalMs       float64      `json:"totalMs"`
	Endpoint      string       `json:"endpoint,omitempty"`
	Key           string       `json:"key,omitempty"` // idempotency key of a non-idempotent call
	Reconnects    int          `json:"reconnects,omitempty"`
}

// Generator sends the load of a plan and checks the answers.
type Generator struct {
	Plan         Plan
	Seed         uint64
	Duration     time.Duration
	ResultWriter io.Writer     // receives the results as JSON lines, if set
	Services     []ml.Endpoint // queried after the run for how often each key was run

	client    *http.Client
	ready     []atomic.Bool // by target: accepts new requests
	reachable []atomic.Bool // by target: answers readiness probes
	mu        sync.Mutex
	results   []Result
}

// maxInFlight bounds the concurrent requests.
const maxInFlight = 4000

// Run sends the load, waits for all answers and returns the results by request
// number.
func (ge *Generator) Run(ctx context.Context) ([]Result, error) {
	di := &net.Dialer{Timeout: time.Second}
	ge.client = &http.Client{Transport: &http.Transport{DialContext: di.DialContext, MaxIdleConnsPerHost: 512, DisableCompression: true}}
	ge.ready = make([]atomic.Bool, len(ge.Plan.Targets))
	ge.reachable = make([]atomic.Bool, len(ge.Plan.Targets))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ge.probe(ctx)
	go func() { _ = ge.loopProbe(ctx) }()
	arrivals := ge.Plan.schedule(ge.Seed, ge.Duration)
	ge.results = make([]Result, len(arrivals))
	slots := make(chan struct{}, maxInFlight)
	wg := sync.WaitGroup{}
	start := time.Now()
	for _, ar := range arrivals {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Until(start.Add(ar.StartOffset))):
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ge.record(ar, ge.send(ctx, ar))
		})
	}
	wg.Wait()
	ge.checkRuns(ctx)
	return ge.results, ge.writeResults()
}

// record stores the result of an arrival.
func (ge *Generator) record(ar arrival, rs Result) {
	rs.Number, rs.ScheduledAtMs, rs.Team = ar.Number, ar.StartOffset.Milliseconds(), ar.Team.ID
	ge.mu.Lock()
	defer ge.mu.Unlock()
	ge.results[ar.Number] = rs
}

func (ge *Generator) send(ctx context.Context, ar arrival) Result {
	if ar.Call != nil {
		return ge.call(ctx, ar)
	}
	return ge.complete(ctx, ar)
}

// writeResults writes the results as JSON lines, if a writer is set.
func (ge *Generator) writeResults() error {
	if ge.ResultWriter == nil {
		return nil
	}
	en := json.NewEncoder(ge.ResultWriter)
	for _, rs := range ge.results {
		if err := en.Encode(rs); err != nil {
			return fmt.Errorf("write result: %w", err)
		}
	}
	return nil
}

// loopProbe probes the readiness of the targets, as a load balancer does.
func (ge *Generator) loopProbe(ctx context.Context) error {
	const interval = 250 * time.Millisecond
	return pacer.Every(ctx, interval, func(time.Time) {
		ge.probe(ctx)
	})
}

// probe requests the readiness of all targets and records the answers.
func (ge *Generator) probe(ctx context.Context) {
	const timeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	wg := sync.WaitGroup{}
	for i, ta := range ge.Plan.Targets {
		wg.Go(func() {
			err := requester.Requester{Client: ge.client, Step: "probe"}.Do(ctx, http.MethodGet, ta.AdminAddress, "/readyz", nil, nil)
			ge.ready[i].Store(err == nil)
			ge.reachable[i].Store(err == nil || requester.Status(err) != 0)
		})
	}
	wg.Wait()
}

// pickTarget returns the planned target or, if it is not ready, the next one that
// is. If none is ready, it returns the planned one.
func (ge *Generator) pickTarget(planned int) int {
	n := len(ge.Plan.Targets)
	for i := range n {
		if target := (planned + i) % n; ge.ready[target].Load() {
			return target
		}
	}
	return planned % n
}

// checkRuns compares the outcomes of non-idempotent calls with how often the services
// ran each key. It corrects outcomes that contradict the counts.
func (ge *Generator) checkRuns(ctx context.Context) {
	runs := make(map[string]int)
	allCounted := true
	for _, ep := range ge.Services {
		serviceRuns := make(map[string]int)
		err := requester.Requester{Client: ge.client, Step: "count runs"}.Do(ctx, http.MethodGet, ep.Address, "/runs", nil, &serviceRuns)
		allCounted = allCounted && err == nil
		for key, n := range serviceRuns {
			runs[key] += n
		}
	}
	for i := range ge.results {
		rs := &ge.results[i]
		switch {
		case rs.Key == "":
		case runs[rs.Key] > 1:
			rs.Outcome = RanTwice
		case rs.Outcome == Refused && runs[rs.Key] > 0:
			rs.Outcome = FalseNotRun
		case rs.Outcome == OK && runs[rs.Key] == 0 && allCounted && len(ge.Services) > 0:
			rs.Outcome = WrongAnswer
		}
	}
}
