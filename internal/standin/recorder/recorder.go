// Package recorder is the stand-in platform of demos and tests. It serves the
// append-only log, the lagging list of VMs and the rate-limited weight store. The
// log has a rate limit and limited retention. Outages, delays and lost answers can
// be injected.
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

// maxBodyBytes bounds a request body.
const maxBodyBytes = 8 << 20

// Faults configures the faults that the platform injects.
type Faults struct {
	Outage           bool    `json:"outage"`      // every call fails
	DelayMs          int64   `json:"delayMs"`     // added to every call
	ResponseLossRate float64 `json:"loseAnswers"` // share of appends that take effect but get no answer, 0 to 1
	RetentionMs      int64   `json:"retentionMs"` // replaces the fleet file's retention if above 0
	// Leaving lists the ids of VMs that the platform is about to remove.
	Leaving []string `json:"leaving"`
}

// Recorder runs the stand-in platform.
type Recorder struct {
	Fleet       fleetreader.Fleet
	Log         *slog.Logger
	Seed        uint64
	journal     journal
	prober      prober
	weightLimit *rate.Limiter
}

// String returns the name used in errors.
func (re *Recorder) String() string { return "stand-in platform" }

// Run serves until ctx is done.
func (re *Recorder) Run(ctx context.Context) error {
	pl := re.Fleet.Platform
	re.journal.open(pl, re.Seed)
	re.prober.fleet = re.Fleet
	re.weightLimit = rate.NewLimiter(rate.Limit(pl.WeightsMBPerSecond), int(pl.WeightsMBPerSecond))
	li, err := net.Listen("tcp", pl.Address)
	if err != nil {
		return fmt.Errorf("%s: listen: %w", re, err)
	}
	se := &http.Server{Handler: re.handler(), ReadHeaderTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(ctx)
	gr := run.Group{}
	gr.Add(func() error { return se.Serve(li) }, func(error) { _ = se.Close() })
	gr.Add(func() error { return re.prober.loopProbe(ctx) }, func(error) { cancel() })
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
	mux.HandleFunc("POST /chaos", re.setFaults)
	mux.HandleFunc("POST /overloads", re.addOverload)
	mux.HandleFunc("GET /overloads", re.showOverloads)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// applyFaults delays a call. In an outage it writes an error and returns true.
func (re *Recorder) applyFaults(w http.ResponseWriter) bool {
	fa := re.journal.currentFaults()
	time.Sleep(time.Duration(fa.DelayMs) * time.Millisecond)
	if fa.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
	}
	return fa.Outage
}

// append appends the records of a request to the log.
func (re *Recorder) append(w http.ResponseWriter, r *http.Request) {
	if re.applyFaults(w) {
		return
	}
	recs := []ml.Record{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&recs); err != nil {
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

// read returns a page of the log. It waits up to waitMs for a record.
func (re *Recorder) read(w http.ResponseWriter, r *http.Request) {
	if re.applyFaults(w) {
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
	if re.applyFaults(w) {
		return
	}
	writeJSON(w, re.journal.read(time.Now(), ml.Offset(from)))
}

// list returns the changes of the list of VMs after a version.
func (re *Recorder) list(w http.ResponseWriter, r *http.Request) {
	if re.applyFaults(w) {
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	writeJSON(w, re.prober.listChanges(time.Now(), since))
}

// fetchWeights simulates a download from the weight store. It answers after the time
// that the rate limit requires.
func (re *Recorder) fetchWeights(w http.ResponseWriter, r *http.Request) {
	if re.applyFaults(w) {
		return
	}
	megabytes, _ := strconv.Atoi(r.URL.Query().Get("megabytes"))
	const chunkMB = 100 // megabytes taken from the rate limit at a time
	for ; megabytes > 0; megabytes -= chunkMB {
		if err := re.weightLimit.WaitN(r.Context(), min(megabytes, chunkMB)); err != nil {
			return
		}
	}
}

// setFaults replaces the injected faults.
func (re *Recorder) setFaults(w http.ResponseWriter, r *http.Request) {
	fa := Faults{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&fa); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	re.journal.setFaults(fa)
	re.prober.setLeaving(fa.Leaving)
}

// addOverload counts an overload that a stand-in engine reports before it exits.
func (re *Recorder) addOverload(_ http.ResponseWriter, r *http.Request) {
	re.prober.countOverload(r.URL.Query().Get("endpoint"))
}

// showOverloads returns the number of overloads by endpoint.
func (re *Recorder) showOverloads(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, re.prober.overloadCounts())
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
