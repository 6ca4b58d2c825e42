// Package bookkeeper is the stand-in plain service of demos and tests. It offers
// bookings, which are not idempotent, and look-ups, which are. It counts how often
// each idempotency key was run, so that the load tool can detect duplicates.
package bookkeeper

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"

	ml "github.com/mulberrylever/mulberrylever"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 1 << 20

// Bookkeeper runs one stand-in service.
type Bookkeeper struct {
	Endpoint         ml.Endpoint
	Log              *slog.Logger
	Latency          time.Duration // duration of a call
	ResponseLossRate float64       // share of bookings that are made but get no answer, 0 to 1
	Seed             uint64

	mu   sync.Mutex
	runs map[string]int // by idempotency key
	rng  *rand.Rand
}

// String returns the name used in errors.
func (bo *Bookkeeper) String() string { return "stand-in service" }

// Run serves until ctx is done.
func (bo *Bookkeeper) Run(ctx context.Context) error {
	bo.runs = make(map[string]int)
	bo.rng = rand.New(rand.NewPCG(bo.Seed, 1))
	li, err := net.Listen("tcp", bo.Endpoint.Address)
	if err != nil {
		return fmt.Errorf("%s: listen: %w", bo, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", bo.book)
	mux.HandleFunc("GET /bookings/{id}", bo.lookUp)
	mux.HandleFunc("GET /runs", bo.showRuns)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	se := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	gr := run.Group{}
	gr.Add(func() error { return se.Serve(li) }, func(error) { _ = se.Close() })
	gr.Add(run.ContextHandler(ctx))
	if err := gr.Run(); ctx.Err() == nil {
		return fmt.Errorf("%s: %w", bo, err)
	}
	return nil
}

// book makes a booking and counts it under the request's idempotency key.
func (bo *Bookkeeper) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	bo.mu.Lock()
	bo.runs[key]++
	runs := bo.runs[key]
	lost := bo.rng.Float64() < bo.ResponseLossRate
	bo.mu.Unlock()
	bo.Log.Info("run", "key", key, "runs", runs, "bytes", len(body))
	time.Sleep(bo.Latency)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(struct {
		Booking string `json:"booking"`
		By      string `json:"by"`
	}{key, string(bo.Endpoint.ID)})
}

// lookUp returns a booking's id.
func (bo *Bookkeeper) lookUp(w http.ResponseWriter, r *http.Request) {
	time.Sleep(bo.Latency)
	_ = json.NewEncoder(w).Encode(struct {
		ID string `json:"id"`
	}{r.PathValue("id")})
}

// showRuns returns the number of runs of every idempotency key.
func (bo *Bookkeeper) showRuns(w http.ResponseWriter, _ *http.Request) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	_ = json.NewEncoder(w).Encode(bo.runs)
}
