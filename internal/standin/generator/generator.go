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

// Outcome tells what became of a request.
type Outcome string

// The outcomes. Only the first three are allowed ones.
const (
	OK      Outcome = "ok"      // the whole right answer
	Refused Outcome = "refused" // an error that says not run
	Failed  Outcome = "failed"  // another error, told in time
	Late    Outcome = "late"    // no end within its time
	Wrong   Outcome = "wrong"   // not the answer to this prompt
	Short   Outcome = "short"   // an answer that ended early as if whole
	Broken  Outcome = "broken"  // the connection was lost for good
	Twice   Outcome = "twice"   // a call that may not be repeated ran again
	NotTrue Outcome = "notTrue" // said not run, but it had run
)

// Result is the record of one request.
type Result struct {
	Number        int          `json:"number"`
	ScheduledAtMs int64        `json:"atMs"` // planned start after the run's start
	Kind          string       `json:"kind"`
	Team          string       `json:"team"`
	Tokens        int          `json:"tokens,omitempty"`
	Outcome       Outcome      `json:"outcome"`
	Type          ml.ErrorType `json:"type,omitempty"`
	Message       string       `json:"message,omitempty"`
	Status        int          `json:"status,omitempty"`
	TTFTMs        float64      `json:"ttftMs,omitempty"`
	BetweenMs     float64      `json:"betweenMs,omitempty"` // mean
	TotalMs       float64      `json:"totalMs"`
	Endpoint      string       `json:"endpoint,omitempty"`
	Key           string       `json:"key,omitempty"`
	Reconnects    int          `json:"reconnects,omitempty"`
}

// Generator runs one load.
type Generator struct {
	Plan         Plan
	Seed         uint64
	Duration     time.Duration
	ResultWriter io.Writer     // receives each result as a JSON line
	Services     []ml.Endpoint // asked for the runs of every key afterwards

	client  *http.Client
	ready   []atomic.Bool // takes new requests
	alive   []atomic.Bool // answers at all
	mu      sync.Mutex
	results []Result
}

// maxOpen bounds the requests under way at once.
const maxOpen = 4000

// Run sends the load, waits for all answers and returns the results in the
// order of their numbers.
func (ge *Generator) Run(ctx context.Context) ([]Result, error) {
	di := &net.Dialer{Timeout: time.Second}
	ge.client = &http.Client{Transport: &http.Transport{DialContext: di.DialContext, MaxIdleConnsPerHost: 512, DisableCompression: true}}
	ge.ready = make([]atomic.Bool, len(ge.Plan.Targets))
	ge.alive = make([]atomic.Bool, len(ge.Plan.Targets))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ge.probe(ctx)
	go func() { _ = ge.loopProbe(ctx) }()
	arrivals := ge.Plan.schedule(ge.Seed, ge.Duration)
	ge.results = make([]Result, len(arrivals))
	slots := make(chan struct{}, maxOpen)
	wg := sync.WaitGroup{}
	start := time.Now()
	for _, ar := range arrivals {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Until(start.Add(ar.At))):
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ge.record(ar, ge.send(ctx, ar))
		})
	}
	wg.Wait()
	ge.checkRuns(ctx)
	return ge.results, ge.write()
}

func (ge *Generator) record(ar arrival, rs Result) {
	rs.Number, rs.ScheduledAtMs, rs.Team = ar.Number, ar.At.Milliseconds(), ar.Team.ID
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

func (ge *Generator) write() error {
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

// loopProbe asks the targets for their readiness, as a balancer does.
func (ge *Generator) loopProbe(ctx context.Context) error {
	const interval = 250 * time.Millisecond
	return pacer.Every(ctx, interval, func(time.Time) {
		ge.probe(ctx)
	})
}

func (ge *Generator) probe(ctx context.Context) {
	const timeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	wg := sync.WaitGroup{}
	for i, ta := range ge.Plan.Targets {
		wg.Go(func() {
			err := requester.Requester{Client: ge.client, Step: "probe"}.Do(ctx, http.MethodGet, ta.AdminAddress, "/readyz", nil, nil)
			ge.ready[i].Store(err == nil)
			ge.alive[i].Store(err == nil || requester.Status(err) != 0)
		})
	}
	wg.Wait()
}

// target returns a ready target: the planned one, or one after it.
func (ge *Generator) target(planned int) int {
	n := len(ge.Plan.Targets)
	for i := range n {
		if at := (planned + i) % n; ge.ready[at].Load() {
			return at
		}
	}
	return planned % n
}

// checkRuns compares what callers were told with how often each key has run.
func (ge *Generator) checkRuns(ctx context.Context) {
	runs := make(map[string]int)
	complete := true
	for _, ep := range ge.Services {
		got := make(map[string]int)
		err := requester.Requester{Client: ge.client, Step: "count runs"}.Do(ctx, http.MethodGet, ep.Address, "/runs", nil, &got)
		complete = complete && err == nil
		for key, n := range got {
			runs[key] += n
		}
	}
	for i := range ge.results {
		rs := &ge.results[i]
		switch {
		case rs.Key == "":
		case runs[rs.Key] > 1:
			rs.Outcome = Twice
		case rs.Outcome == Refused && runs[rs.Key] > 0:
			rs.Outcome = NotTrue
		case rs.Outcome == OK && runs[rs.Key] == 0 && complete && len(ge.Services) > 0:
			rs.Outcome = Wrong
		}
	}
}
