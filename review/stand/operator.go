//go:build review

package main

import (
	"encoding/json"
	"time"
)

// The services of the deployment.
const (
	serviceModel   = "tinjau-lm"
	serviceCounter = "tinjau-kaunter"
	serviceSpare   = "tinjau-kaunter-2"
)

// Config is what the cases change in the configuration.
type Config struct {
	Version      int
	Keys         []string // of the only tenant
	MovedService string   // to which the route /moved/ leads
}

// publish writes the configuration as the operator does, and returns when the store had
// acknowledged it.
func (wo *World) publish(co Config) (time.Time, error) {
	value, err := json.Marshal(co.record())
	if err != nil {
		return time.Time{}, err
	}
	offset, isAcked := wo.Store.Put("keyed.op", "config", value)
	at := time.Now()
	wo.record("operator: config version %d written at offset %d, acknowledged: %t, keys %v, /moved/ leads to %s", co.Version, offset, isAcked, co.Keys, co.MovedService)
	return at, nil
}

// record returns the configuration in the platform's format. Its figures are those of the site
// ltkn-tinjau.
func (co Config) record() map[string]any {
	route := func(name, prefix, kind, service string, timeoutMs, targetMs, attempts int, more map[string]any) map[string]any {
		out := map[string]any{
			"name": name, "host": routeHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs, "priority": 1,
			"service": service, "maxAttempts": attempts, "public": false,
		}
		for field, value := range more {
			out[field] = value
		}
		return out
	}
	stream := func(gapMs int) map[string]any {
		return map[string]any{"sticky": true, "canResume": true, "gapTargetMs": gapMs}
	}
	return map[string]any{
		"version": co.Version,
		"routes": []any{
			route("short", "/short/", "streaming", serviceModel, 10000, 300, 2, stream(250)),
			route("medium", "/medium/", "streaming", serviceModel, 10000, 1500, 2, stream(600)),
			route("long", "/long/", "streaming", serviceModel, 15000, 3000, 2, stream(1000)),
			route("pay", "/pay/", "unsafe", serviceCounter, 800, 300, 1, nil),
			route("look", "/look/", "safe", serviceCounter, 800, 300, 2, nil),
			route("moved", "/moved/", "safe", co.MovedService, 800, 300, 2, nil),
		},
		"services": []any{
			map[string]any{
				"name": serviceModel, "healthPath": "/health", "maxConnections": 424, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 38.0,
				"engine": map[string]any{
					"slots": modelSlots, "kvTokens": modelMemory, "kvBytes": 163840, "linkMbps": 400000.0, "stride": eventTokens, "models": []any{map[string]any{"name": "m"}},
					"step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
					"usual": map[string]any{"prompt": 11108, "answer": 1622}, "hopMs": 0.05,
				},
			},
			map[string]any{"name": serviceCounter, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": serviceSpare, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": co.Keys, "priority": 1}},
	}
}
