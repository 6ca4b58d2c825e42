// Package configurer defines the fleet-wide configuration: defaults and a
// short list of exceptions, each with a written reason.
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

// MaxExceptions bounds the list of exceptions.
const MaxExceptions = 200

// Lengths holds the upper bounds, in tokens, of prompt lengths.
type Lengths struct {
	ShortMax  ml.Tokens `json:"shortMax"`
	MediumMax ml.Tokens `json:"mediumMax"`
	LongMax   ml.Tokens `json:"longMax"`
}

// Retries bounds how often a request is tried again.
type Retries struct {
	MaxAttempts    int     `json:"maxAttempts"`
	BudgetPerCent  float64 `json:"budgetPerCent"`  // retries for each 100 requests
	BaseDelayMs    int64   `json:"baseDelayMs"`    // doubled at each retry, with jitter
	RetryAfterMs   int64   `json:"retryAfterMs"`   // told to callers when nothing better is known
	MaxRefusalHops int     `json:"maxRefusalHops"` // endpoints asked before a refusal
}

// Routing chooses how requests find an endpoint.
type Routing struct {
	Policy          string  `json:"policy"`     // one of router.PolicyNames
	SampleSize      int     `json:"candidates"` // endpoints looked at per request
	LongPromptShare float64 `json:"longShare"`  // share of an engine's memory open to long prompts
	ByLength        bool    `json:"byLength"`   // shorter prompts go first, long ones gather on few engines
}

// Team holds the defaults for a team.
type Team struct {
	Weight      float64   `json:"weight"`      // share in relation to other teams
	MaxInFlight int       `json:"maxInFlight"` // requests at once on one entry VM; 0 for no limit
	MaxPrompt   ml.Tokens `json:"maxPrompt"`   // longest prompt
}

// Service holds the defaults for a plain service.
type Service struct {
	Idempotent bool  `json:"idempotent"` // calls other than GET and HEAD may be repeated
	TimeoutMs  int64 `json:"timeoutMs"`
}

// Objectives holds the service-level objectives.
type Objectives struct {
	TTFTMs          [ml.NumLengths]int64 `json:"ttftMs"`          // by prompt length, short first
	BetweenTokensMs int64                `json:"betweenTokensMs"` // mean of a request
	TargetPerCent   float64              `json:"targetPerCent"`   // requests that meet the times
	SuccessPerCent  float64              `json:"successPerCent"`  // admitted requests that get their answer
	ConfigMs        int64                `json:"configMs"`        // a change in force everywhere
}

// Power tells when engines are switched on and off.
type Power struct {
	Enabled            bool    `json:"enabled"`
	WakeAbovePerCent   float64 `json:"wakePerCent"`  // busy share of the awake engines' slots above which one more is woken
	SleepBelowPerCent  float64 `json:"sleepPerCent"` // share below which one is switched off
	MinOrderIntervalMs int64   `json:"holdMs"`       // time between two orders of one model and domain
	MinAwake           int     `json:"minAwake"`     // engines of a model kept awake in a domain
}

// Config is the fleet-wide configuration without its exceptions.
type Config struct {
	DefaultTimeoutMs    int64      `json:"defaultTimeoutMs"`
	MaxTimeoutMs        int64      `json:"maxTimeoutMs"`
	IdempotencyKeyTTLMs int64      `json:"keyLifeMs"` // idempotency keys are kept for this long
	Lengths             Lengths    `json:"lengths"`
	Retries             Retries    `json:"retries"`
	Routing             Routing    `json:"routing"`
	Team                Team       `json:"team"`
	Service             Service    `json:"service"`
	Objectives          Objectives `json:"objectives"`
	Power               Power      `json:"power"`
}

// Default returns the built-in defaults. This is the only place where they
// stand.
func Default() Config {
	return Config{
		DefaultTimeoutMs:    120_000,
		MaxTimeoutMs:        900_000,
		IdempotencyKeyTTLMs: 6 * 3600 * 1000,
		Lengths:             Lengths{ShortMax: 4_000, MediumMax: 32_000, LongMax: 250_000},
		Retries:             Retries{MaxAttempts: 4, BudgetPerCent: 20, BaseDelayMs: 20, RetryAfterMs: 1000, MaxRefusalHops: 3},
		Routing:             Routing{Policy: "predicted", SampleSize: 4, LongPromptShare: 0.7, ByLength: true},
		Team:                Team{Weight: 1, MaxPrompt: 1_100_000},
		Service:             Service{TimeoutMs: 10_000},
		Objectives: Objectives{
			TTFTMs: [ml.NumLengths]int64{1400, 1400, 10_000, 60_000}, BetweenTokensMs: 30,
			TargetPerCent: 95, SuccessPerCent: 99.9, ConfigMs: 6000,
		},
		Power: Power{WakeAbovePerCent: 70, SleepBelowPerCent: 20, MinOrderIntervalMs: 10_000, MinAwake: 1},
	}
}

// Parse reads a configuration file's content over the defaults and checks it.
func Parse(data []byte) (Config, error) {
	co := Default()
	err := parser.Parse(data, &co)
	return co, parser.Join(data, err, co.Check())
}

// Check returns everything wrong with the configuration.
func (co Config) Check() parser.Faults {
	ch := checker{}
	ch.positive("defaultTimeoutMs", float64(co.DefaultTimeoutMs))
	ch.atLeast("maxTimeoutMs", float64(co.MaxTimeoutMs), "defaultTimeoutMs", float64(co.DefaultTimeoutMs))
	ch.positive("keyLifeMs", float64(co.IdempotencyKeyTTLMs))
	ch.positive("lengths.shortMax", float64(co.Lengths.ShortMax))
	ch.atLeast("lengths.mediumMax", float64(co.Lengths.MediumMax), "lengths.shortMax", float64(co.Lengths.ShortMax))
	ch.atLeast("lengths.longMax", float64(co.Lengths.LongMax), "lengths.mediumMax", float64(co.Lengths.MediumMax))
	ch.between("retries.maxAttempts", float64(co.Retries.MaxAttempts), 1, 20)
	ch.between("retries.budgetPerCent", co.Retries.BudgetPerCent, 0, 100)
	ch.positive("retries.baseDelayMs", float64(co.Retries.BaseDelayMs))
	ch.positive("retries.retryAfterMs", float64(co.Retries.RetryAfterMs))
	ch.between("retries.maxRefusalHops", float64(co.Retries.MaxRefusalHops), 1, 10)
	ch.oneOf("routing.policy", co.Routing.Policy, router.PolicyNames)
	ch.between("routing.candidates", float64(co.Routing.SampleSize), 1, 16)
	ch.between("routing.longShare", co.Routing.LongPromptShare, 0.1, 1)
	ch.positive("team.weight", co.Team.Weight)
	ch.between("team.maxInFlight", float64(co.Team.MaxInFlight), 0, 1e6)
	ch.positive("team.maxPrompt", float64(co.Team.MaxPrompt))
	ch.positive("service.timeoutMs", float64(co.Service.TimeoutMs))
	for i, ms := range co.Objectives.TTFTMs {
		ch.positive(fmt.Sprintf("objectives.ttftMs[%d]", i), float64(ms))
	}
	ch.positive("objectives.betweenTokensMs", float64(co.Objectives.BetweenTokensMs))
	ch.between("objectives.targetPerCent", co.Objectives.TargetPerCent, 1, 99.999)
	ch.between("objectives.successPerCent", co.Objectives.SuccessPerCent, 1, 99.9999)
	ch.positive("objectives.configMs", float64(co.Objectives.ConfigMs))
	ch.between("power.wakePerCent", co.Power.WakeAbovePerCent, 1, 100)
	ch.between("power.sleepPerCent", co.Power.SleepBelowPerCent, 0, co.Power.WakeAbovePerCent)
	ch.positive("power.holdMs", float64(co.Power.MinOrderIntervalMs))
	ch.between("power.minAwake", float64(co.Power.MinAwake), 1, 1e4)
	return ch.faults
}

// LengthOf returns the length of a prompt.
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

// checker collects faults.
type checker struct{ faults parser.Faults }

func (ch *checker) add(field string, value any, format string, args ...any) {
	ch.faults = append(ch.faults, parser.Fault{Field: field, Value: fmt.Sprint(value), Message: fmt.Sprintf(format, args...)})
}

func (ch *checker) positive(field string, value float64) {
	if !(value > 0) {
		ch.add(field, value, "must be more than 0")
	}
}

func (ch *checker) atLeast(field string, value float64, other string, low float64) {
	if !(value >= low) {
		ch.add(field, value, "must be at least %s, which is %v", other, low)
	}
}

func (ch *checker) between(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		ch.add(field, value, "must be from %v to %v", low, high)
	}
}

func (ch *checker) oneOf(field, value string, names []string) {
	if !slices.Contains(names, value) {
		ch.add(field, value, "must be one of %s", strings.Join(names, ", "))
	}
}
