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

// observer counts calls in metrics and against the objectives. It implements
// receiver.Observer.
type observer struct {
	keeper *keeper.Keeper
	burner *burner.Burner
	domain ml.DomainID
}

// Observe implements receiver.Observer.
func (ob observer) Observe(now time.Time, en receiver.CallRecord) {
	kind, outcome := "prompt", "ok"
	if en.Service != "" {
		kind = "service"
	}
	if en.Error != nil {
		outcome = string(en.Error.Type)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("mulberrylever_requests_total{kind=%q,outcome=%q}", kind, outcome)).Inc()
	if !en.Admitted || (en.Error != nil && en.Error.Type == ml.ErrInvalidRequest) {
		return
	}
	ke := burner.Key{Team: en.Team, Domain: ob.domain}
	if kind == "prompt" {
		ke.Length = en.Length.String()
		ob.observeTimes(now, ke, en)
	}
	ke.Objective = burner.Success
	ob.burner.Add(now, ke, en.Error == nil)
}

func (ob observer) observeTimes(now time.Time, ke burner.Key, en receiver.CallRecord) {
	obj := ob.keeper.View().Config.ObjectivesFor(ke.Team)
	ke.Objective = burner.TTFT
	ob.burner.Add(now, ke, en.TTFT > 0 && en.TTFT <= configurer.Millis(obj.TTFTMs[en.Length]))
	if en.TTFT > 0 {
		ob.burner.RecordTTFT(now, en.Length, en.TTFT)
		metrics.GetOrCreateHistogram(fmt.Sprintf("mulberrylever_ttft_seconds{length=%q}", en.Length)).Update(en.TTFT.Seconds())
	}
	if en.MeanInterToken > 0 {
		ke.Objective = burner.InterToken
		ob.burner.Add(now, ke, en.MeanInterToken <= configurer.Millis(obj.BetweenTokensMs))
	}
}

// inForce counts how long a change took to be in force on this VM.
func (ob observer) inForce(changed time.Time) {
	now := time.Now()
	if changed.IsZero() {
		return
	}
	took := now.Sub(changed)
	metrics.GetOrCreateHistogram("mulberrylever_config_in_force_seconds").Update(took.Seconds())
	obj := ob.keeper.View().Config.Objectives
	ob.burner.Add(now, burner.Key{Objective: burner.ConfigPropagation, Domain: ob.domain}, took <= configurer.Millis(obj.ConfigMs))
}

// alerts returns the burn alerts of this VM and shows them in a metric.
func (ob observer) alerts(now time.Time) []string {
	out := []string{}
	sn, err := ob.burner.Snapshot(now)
	if err != nil {
		return out
	}
	obj := ob.keeper.View().Config.Objectives
	byLength := burner.Group(sn.Rows, func(ke burner.Key) burner.Key { return burner.Key{Objective: ke.Objective, Length: ke.Length} })
	for _, ro := range byLength {
		out = append(out, ro.Alerts(target(obj, ro.Objective))...)
	}
	return out
}

// target returns the share of good events wanted, in per cent.
func target(obj configurer.Objectives, ob burner.Objective) float64 {
	if ob == burner.Success {
		return obj.SuccessPerCent
	}
	return obj.TargetPerCent
}
