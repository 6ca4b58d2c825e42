// Package administrator is the operators' interface of one entry VM: health,
// readiness, metrics and state.
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

// Status is what one entry VM says of itself.
type Status struct {
	VM             ml.VMID        `json:"vm"`
	Domain         ml.DomainID    `json:"domain"`
	Release        string         `json:"release"`
	Ready          bool           `json:"ready"`
	NotReadyReason string         `json:"why,omitempty"` // why it is not ready
	Version        ml.Version     `json:"version"`
	LogHealthy     bool           `json:"logHealthy"`
	InFlight       int            `json:"inFlight"`
	Grants         int            `json:"grants"` // held by this VM
	LiveMembers    []ml.VMID      `json:"alive"`  // entry VMs of its domain as it sees them
	Owned          []ml.OwnedLoad `json:"owned"`
	Alerts         []string       `json:"alerts"`
}

// Administrator answers operators.
type Administrator struct {
	Key            string // bearer key for all but health and readiness; empty for none
	Status         func(now time.Time) Status
	NotReadyReason func(now time.Time) (why string) // why it is not ready, or empty
	Fleet          func() *folder.Fleet
	VMs            func() ml.VMs // the platform's list as this VM knows it
	BurnRates      func(now time.Time) any
}

// Handler returns the HTTP handler.
func (ad *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", ad.ready)
	mux.HandleFunc("GET /metrics", ad.guard(func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }))
	mux.HandleFunc("GET /admin/status", ad.guard(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, ad.Status(time.Now())) }))
	mux.HandleFunc("GET /admin/fleet", ad.guard(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, ad.Fleet()) }))
	mux.HandleFunc("GET /admin/vms", ad.guard(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, ad.VMs()) }))
	mux.HandleFunc("GET /admin/burn", ad.guard(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, ad.BurnRates(time.Now())) }))
	return mux
}

func (ad *Administrator) ready(w http.ResponseWriter, _ *http.Request) {
	if why := ad.NotReadyReason(time.Now()); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (ad *Administrator) guard(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if ad.Key != "" && subtle.ConstantTimeCompare([]byte(given), []byte(ad.Key)) != 1 {
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
