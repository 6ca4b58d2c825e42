package server

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/receiver"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/state/burner"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

// observer counts requests in metrics and against the service-level
// objectives. It implements receiver.Observer.
type observer struct {
	keeper *keeper.Keeper
	burner *burner.Burner
	domain ml.DomainID
}

// Observe implements receiver.Observer.
func (ob observer) Observe(now time.Time, cr receiver.CallRecord) {
	kind, outcome := "prompt", "ok"
	if cr.Service != "" {
		kind = "service"
	}
	if cr.Error != nil {
		outcome = string(cr.Error.Type)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("mulberrylever_requests_total{kind=%q,outcome=%q}", kind, outcome)).Inc()
	if !cr.Admitted || (cr.Error != nil && cr.Error.Type == ml.ErrInvalidRequest) {
		return
	}
	ke := burner.Key{Team: cr.Team, Domain: ob.domain}
	if kind == "prompt" {
		ke.Length = cr.Length.String()
		ob.observeLatencies(now, ke, cr)
	}
	ke.Objective = burner.Success
	ob.burner.Add(now, ke, cr.Error == nil)
}

// observeLatencies records the time to the first token and the mean time between
// tokens.
func (ob observer) observeLatencies(now time.Time, ke burner.Key, cr receiver.CallRecord) {
	obj := ob.keeper.View().Config.ObjectivesFor(ke.Team)
	ke.Objective = burner.TTFT
	ob.burner.Add(now, ke, cr.TTFT > 0 && cr.TTFT <= configurer.Millis(obj.TTFTMs[cr.Length]))
	if cr.TTFT > 0 {
		ob.burner.RecordTTFT(now, cr.Length, cr.TTFT)
		metrics.GetOrCreateHistogram(fmt.Sprintf("mulberrylever_ttft_seconds{length=%q}", cr.Length)).Update(cr.TTFT.Seconds())
	}
	if cr.MeanInterToken > 0 {
		ke.Objective = burner.InterToken
		ob.burner.Add(now, ke, cr.MeanInterToken <= configurer.Millis(obj.InterTokenMs))
	}
}

// observeChangeApplied records the time from a configuration change until it
// is in force on this VM.
func (ob observer) observeChangeApplied(changedAt time.Time) {
	now := time.Now()
	if changedAt.IsZero() {
		return
	}
	delay := now.Sub(changedAt)
	metrics.GetOrCreateHistogram("mulberrylever_config_in_force_seconds").Update(delay.Seconds())
	obj := ob.keeper.View().Config.Objectives
	ob.burner.Add(now, burner.Key{Objective: burner.ConfigPropagation, Domain: ob.domain}, delay <= configurer.Millis(obj.ConfigPropagationMs))
}

// alerts returns the burn-rate alerts of this VM.
func (ob observer) alerts(now time.Time) []string {
	out := []string{}
	sn, err := ob.burner.Snapshot(now)
	if err != nil {
		return out
	}
	obj := ob.keeper.View().Config.Objectives
	byLength := burner.Group(sn.Rows, func(ke burner.Key) burner.Key { return burner.Key{Objective: ke.Objective, Length: ke.Length} })
	for _, ro := range byLength {
		out = append(out, ro.Alerts(targetPerCent(obj, ro.Objective))...)
	}
	return out
}

// targetPerCent returns the share of good events that an objective requires.
func targetPerCent(obj configurer.Objectives, ob burner.Objective) float64 {
	if ob == burner.Success {
		return obj.SuccessPerCent
	}
	return obj.TargetPerCent
}
