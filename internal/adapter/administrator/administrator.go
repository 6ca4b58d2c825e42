// Package administrator serves the operators' HTTP interface of one entry VM:
// health, readiness, metrics and state.
package administrator

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

// Status is the state of one entry VM, as returned by /admin/status.
type Status struct {
	VM             ml.VMID        `json:"vm"`
	Domain         ml.DomainID    `json:"domain"`
	Release        string         `json:"release"`
	Ready          bool           `json:"ready"`
	NotReadyReason string         `json:"why,omitempty"` // empty when ready
	Version        ml.Version     `json:"version"`
	LogHealthy     bool           `json:"logHealthy"`
	InFlight       int            `json:"inFlight"`
	Grants         int            `json:"grants"` // held by this VM
	LiveMembers    []ml.VMID      `json:"alive"`  // entry VMs of its domain that it considers alive
	Owned          []ml.OwnedLoad `json:"owned"`
	Alerts         []string       `json:"alerts"`
}

// Administrator serves operators.
type Administrator struct {
	Key            string // bearer key for all paths but health and readiness; empty means none is required
	Status         func(now time.Time) Status
	NotReadyReason func(now time.Time) (reason string) // empty when ready
	Fleet          func() *folder.Fleet
	VMs            func() ml.VMs // the platform's list as this VM knows it
	BurnRates      func(now time.Time) any
}

// Handler returns the HTTP handler.
func (ad *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", ad.ready)
	mux.HandleFunc("GET /metrics", ad.requireKey(func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }))
	mux.HandleFunc("GET /admin/status", ad.requireKey(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, ad.Status(time.Now())) }))
	mux.HandleFunc("GET /admin/fleet", ad.requireKey(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, ad.Fleet()) }))
	mux.HandleFunc("GET /admin/vms", ad.requireKey(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, ad.VMs()) }))
	mux.HandleFunc("GET /admin/burn", ad.requireKey(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, ad.BurnRates(time.Now())) }))
	return mux
}

func (ad *Administrator) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := ad.NotReadyReason(time.Now()); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (ad *Administrator) requireKey(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if ad.Key != "" && subtle.ConstantTimeCompare([]byte(key), []byte(ad.Key)) != 1 {
			http.Error(w, "no valid bearer key in Authorization", http.StatusUnauthorized)
			return
		}
		handle(w, r)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
