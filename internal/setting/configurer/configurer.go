// Package configurer defines the fleet-wide configuration: defaults, and a short
// list of exceptions for single teams and services, each with a written reason.
package configurer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// MaxExceptions is the maximum number of exceptions.
const MaxExceptions = 200

// LengthBounds holds the longest prompts, in tokens, of the length classes.
// Prompts longer than LongMax are huge.
type LengthBounds struct {
	ShortMax  ml.Tokens `json:"shortMax"`
	MediumMax ml.Tokens `json:"mediumMax"`
	LongMax   ml.Tokens `json:"longMax"`
}

// Retries limits how often a request is retried.
type Retries struct {
	MaxAttempts    int     `json:"maxAttempts"`
	BudgetPerCent  float64 `json:"budgetPerCent"`  // retries for each 100 requests
	BaseDelayMs    int64   `json:"baseDelayMs"`    // doubled at each retry, with jitter
	RetryAfterMs   int64   `json:"retryAfterMs"`   // sent to callers when there is no better estimate
	MaxRefusalHops int     `json:"maxRefusalHops"` // endpoints tried, one after the other, before a request is refused
}

// Routing controls how an endpoint is selected for a request.
type Routing struct {
	Policy          string  `json:"policy"`     // one of router.PolicyNames
	SampleSize      int     `json:"candidates"` // endpoints considered per request
	LongPromptShare float64 `json:"longShare"`  // share of an engine's memory that long prompts may use
	ByLength        bool    `json:"byLength"`   // shorter prompts are placed first, long ones are concentrated on few engines
}

// Team holds the defaults for a team.
type Team struct {
	Weight      float64   `json:"weight"`      // share relative to other teams
	MaxInFlight int       `json:"maxInFlight"` // concurrent requests on one entry VM; 0 for no limit
	MaxPrompt   ml.Tokens `json:"maxPrompt"`   // longest prompt
}

// Service holds the defaults for a plain service.
type Service struct {
	Idempotent bool  `json:"idempotent"` // calls other than GET and HEAD may be repeated
	TimeoutMs  int64 `json:"timeoutMs"`
}

// Objectives holds the service-level objectives.
type Objectives struct {
	TTFTMs              [ml.NumLengths]int64 `json:"ttftMs"`          // by prompt length, short first
	InterTokenMs        int64                `json:"betweenTokensMs"` // mean over a request
	TargetPerCent       float64              `json:"targetPerCent"`   // share of requests that meet the latency objectives
	SuccessPerCent      float64              `json:"successPerCent"`  // share of admitted requests that get their answer
	ConfigPropagationMs int64                `json:"configMs"`        // time until a change is in force on every entry VM
}

// Power controls when engines are switched on and off.
type Power struct {
	Enabled            bool    `json:"enabled"`
	WakeAbovePerCent   float64 `json:"wakePerCent"`  // busy share of the awake engines' slots above which one more engine is switched on
	SleepBelowPerCent  float64 `json:"sleepPerCent"` // busy share below which one engine is switched off
	MinOrderIntervalMs int64   `json:"holdMs"`       // minimum time between two orders for one model and domain
	MinAwake           int     `json:"minAwake"`     // engines of a model kept switched on in a domain
}

// Config is the fleet-wide configuration without its exceptions.
type Config struct {
	DefaultTimeoutMs    int64        `json:"defaultTimeoutMs"`
	MaxTimeoutMs        int64        `json:"maxTimeoutMs"`
	IdempotencyKeyTTLMs int64        `json:"keyLifeMs"` // idempotency keys are kept for this long
	Lengths             LengthBounds `json:"lengths"`
	Retries             Retries      `json:"retries"`
	Routing             Routing      `json:"routing"`
	Team                Team         `json:"team"`
	Service             Service      `json:"service"`
	Objectives          Objectives   `json:"objectives"`
	Power               Power        `json:"power"`
}

// Default returns the built-in defaults. They are defined nowhere else.
func Default() Config {
	return Config{
		DefaultTimeoutMs:    120_000,
		MaxTimeoutMs:        900_000,
		IdempotencyKeyTTLMs: 6 * 3600 * 1000,
		Lengths:             LengthBounds{ShortMax: 4_000, MediumMax: 32_000, LongMax: 250_000},
		Retries:             Retries{MaxAttempts: 4, BudgetPerCent: 20, BaseDelayMs: 20, RetryAfterMs: 1000, MaxRefusalHops: 3},
		Routing:             Routing{Policy: "predicted", SampleSize: 4, LongPromptShare: 0.7, ByLength: true},
		Team:                Team{Weight: 1, MaxPrompt: 1_100_000},
		Service:             Service{TimeoutMs: 10_000},
		Objectives: Objectives{
			TTFTMs: [ml.NumLengths]int64{1400, 1400, 10_000, 60_000}, InterTokenMs: 30,
			TargetPerCent: 95, SuccessPerCent: 99.9, ConfigPropagationMs: 6000,
		},
		Power: Power{WakeAbovePerCent: 70, SleepBelowPerCent: 20, MinOrderIntervalMs: 10_000, MinAwake: 1},
	}
}

// Parse decodes a configuration file's content over the defaults and checks the
// result.
func Parse(data []byte) (Config, error) {
	co := Default()
	err := parser.Parse(data, &co)
	return co, parser.MergeFaults(data, err, co.Check())
}

// Check returns everything wrong with the configuration.
func (co Config) Check() parser.Faults {
	va := validator{}
	va.positive("defaultTimeoutMs", float64(co.DefaultTimeoutMs))
	va.atLeast("maxTimeoutMs", float64(co.MaxTimeoutMs), "defaultTimeoutMs", float64(co.DefaultTimeoutMs))
	va.positive("keyLifeMs", float64(co.IdempotencyKeyTTLMs))
	va.positive("lengths.shortMax", float64(co.Lengths.ShortMax))
	va.atLeast("lengths.mediumMax", float64(co.Lengths.MediumMax), "lengths.shortMax", float64(co.Lengths.ShortMax))
	va.atLeast("lengths.longMax", float64(co.Lengths.LongMax), "lengths.mediumMax", float64(co.Lengths.MediumMax))
	va.between("retries.maxAttempts", float64(co.Retries.MaxAttempts), 1, 20)
	va.between("retries.budgetPerCent", co.Retries.BudgetPerCent, 0, 100)
	va.positive("retries.baseDelayMs", float64(co.Retries.BaseDelayMs))
	va.positive("retries.retryAfterMs", float64(co.Retries.RetryAfterMs))
	va.between("retries.maxRefusalHops", float64(co.Retries.MaxRefusalHops), 1, 10)
	va.oneOf("routing.policy", co.Routing.Policy, router.PolicyNames)
	va.between("routing.candidates", float64(co.Routing.SampleSize), 1, 16)
	va.between("routing.longShare", co.Routing.LongPromptShare, 0.1, 1)
	va.positive("team.weight", co.Team.Weight)
	va.between("team.maxInFlight", float64(co.Team.MaxInFlight), 0, 1e6)
	va.positive("team.maxPrompt", float64(co.Team.MaxPrompt))
	va.positive("service.timeoutMs", float64(co.Service.TimeoutMs))
	for i, ms := range co.Objectives.TTFTMs {
		va.positive(fmt.Sprintf("objectives.ttftMs[%d]", i), float64(ms))
	}
	va.positive("objectives.betweenTokensMs", float64(co.Objectives.InterTokenMs))
	va.between("objectives.targetPerCent", co.Objectives.TargetPerCent, 1, 99.999)
	va.between("objectives.successPerCent", co.Objectives.SuccessPerCent, 1, 99.9999)
	va.positive("objectives.configMs", float64(co.Objectives.ConfigPropagationMs))
	va.between("power.wakePerCent", co.Power.WakeAbovePerCent, 1, 100)
	va.between("power.sleepPerCent", co.Power.SleepBelowPerCent, 0, co.Power.WakeAbovePerCent)
	va.positive("power.holdMs", float64(co.Power.MinOrderIntervalMs))
	va.between("power.minAwake", float64(co.Power.MinAwake), 1, 1e4)
	return va.faults
}

// LengthOf returns the length class of a prompt.
func (co Config) LengthOf(tokens ml.Tokens) ml.Length {
	switch {
	case tokens <= co.Lengths.ShortMax:
		return ml.Short
	case tokens <= co.Lengths.MediumMax:
		return ml.Medium
	case tokens <= co.Lengths.LongMax:
		return ml.Long
	default:
		return ml.Huge
	}
}

// IdempotencyKeyTTL returns how long idempotency keys are kept.
func (co Config) IdempotencyKeyTTL() time.Duration { return Millis(co.IdempotencyKeyTTLMs) }

// Millis returns ms milliseconds as a duration.
func Millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// validator collects faults.
type validator struct{ faults parser.Faults }

func (va *validator) add(field string, value any, format string, args ...any) {
	va.faults = append(va.faults, parser.Fault{Field: field, Value: fmt.Sprint(value), Message: fmt.Sprintf(format, args...)})
}

func (va *validator) positive(field string, value float64) {
	if !(value > 0) {
		va.add(field, value, "must be more than 0")
	}
}

func (va *validator) atLeast(field string, value float64, other string, low float64) {
	if !(value >= low) {
		va.add(field, value, "must be at least %s, which is %v", other, low)
	}
}

func (va *validator) between(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		va.add(field, value, "must be from %v to %v", low, high)
	}
}

func (va *validator) oneOf(field, value string, names []string) {
	if !slices.Contains(names, value) {
		va.add(field, value, "must be one of %s", strings.Join(names, ", "))
	}
}
