// Package recorder is the stand-in platform: the append-only log service with
// a rate limit, limited retention, outages and lost answers; the lagging list
// of VMs; and the rate-limited weight store.
package recorder

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/run"
	"golang.org/x/time/rate"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/standin/fleetreader"
)

// maxBody bounds an append in bytes.
const maxBody = 8 << 20

// Faults is what goes wrong at the platform on purpose.
type Faults struct {
	Outage           bool    `json:"outage"`      // every call fails
	DelayMs          int64   `json:"delayMs"`     // added to every call
	ResponseLossRate float64 `json:"loseAnswers"` // share of appends that take effect but answer nothing
	RetentionMs      int64   `json:"retentionMs"` // replaces the fleet file's
	// Leaving names VMs that the platform will take away.
	Leaving []string `json:"leaving"`
}

// Recorder runs the stand-in platform.
type Recorder struct {
	Fleet   fleetreader.Fleet
	Log     *slog.Logger
	Seed    uint64
	journal journal
	prober  prober
	weights *rate.Limiter
}

// String names the step in logs.
func (re *Recorder) String() string { return "stand-in platform" }

// Run serves until ctx ends.
func (re *Recorder) Run(ctx context.Context) error {
	pl := re.Fleet.Platform
	re.journal.open(pl, re.Seed)
	re.prober.fleet = re.Fleet
	re.weights = rate.NewLimiter(rate.Limit(pl.WeightsPerSecond), int(pl.WeightsPerSecond))
	li, err := net.Listen("tcp", pl.Address)
	if err != nil {
		return fmt.Errorf("%s: listen: %w", re, err)
	}
	se := &http.Server{Handler: re.handler(), ReadHeaderTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(ctx)
	gr := run.Group{}
	gr.Add(func() error { return se.Serve(li) }, func(error) { _ = se.Close() })
	gr.Add(func() error { return re.prober.loop(ctx) }, func(error) { cancel() })
	if err := gr.Run(); ctx.Err() == nil {
		return fmt.Errorf("%s: %w", re, err)
	}
	return nil
}

func (re *Recorder) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log", re.append)
	mux.HandleFunc("GET /log", re.read)
	mux.HandleFunc("GET /vms", re.list)
	mux.HandleFunc("GET /weights/{model}", re.fetchWeights)
	mux.HandleFunc("POST /chaos", re.setChaos)
	mux.HandleFunc("POST /overloads", re.addOverload)
	mux.HandleFunc("GET /overloads", re.showOverloads)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// disturbed delays a call and tells whether it must fail.
func (re *Recorder) disturbed(w http.ResponseWriter) bool {
	ch := re.journal.disturbance()
	time.Sleep(time.Duration(ch.DelayMs) * time.Millisecond)
	if ch.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
	}
	return ch.Outage
}

func (re *Recorder) append(w http.ResponseWriter, r *http.Request) {
	if re.disturbed(w) {
		return
	}
	recs := []ml.Record{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&recs); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	first, allowed, lost := re.journal.append(time.Now(), recs)
	if !allowed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, struct {
		Offset ml.Offset `json:"offset"`
	}{first})
}

func (re *Recorder) read(w http.ResponseWriter, r *http.Request) {
	if re.disturbed(w) {
		return
	}
	qu := r.URL.Query()
	from, err := strconv.ParseInt(qu.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.ParseInt(qu.Get("waitMs"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	re.journal.wait(ctx, ml.Offset(from))
	if re.disturbed(w) {
		return
	}
	writeJSON(w, re.journal.read(time.Now(), ml.Offset(from)))
}

func (re *Recorder) list(w http.ResponseWriter, r *http.Request) {
	if re.disturbed(w) {
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	writeJSON(w, re.prober.shown(time.Now(), since))
}

func (re *Recorder) fetchWeights(w http.ResponseWriter, r *http.Request) {
	if re.disturbed(w) {
		return
	}
	megabytes, _ := strconv.Atoi(r.URL.Query().Get("megabytes"))
	const step = 100 // megabytes taken from the budget at a time
	for ; megabytes > 0; megabytes -= step {
		if err := re.weights.WaitN(r.Context(), min(megabytes, step)); err != nil {
			return
		}
	}
}

func (re *Recorder) setChaos(w http.ResponseWriter, r *http.Request) {
	ch := Faults{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&ch); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	re.journal.disturb(ch)
	re.prober.setLeaving(ch.Leaving)
}

func (re *Recorder) addOverload(_ http.ResponseWriter, r *http.Request) {
	re.prober.addOverload(r.URL.Query().Get("endpoint"))
}

func (re *Recorder) showOverloads(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, re.prober.listOverloads())
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
