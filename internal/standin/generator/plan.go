// Package generator is the load tool: open-loop arrivals with a seed, a mix of
// prompt lengths, teams and service calls from a file, and a check of every
// answer against what the stand-in engine must have said.
package generator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// Target is an entry VM as the balancer in front of it sees it.
type Target struct {
	Address      string `json:"address"` // callers' address
	AdminAddress string `json:"ready"`   // admin address, asked for readiness
}

// Team sends a share of the load.
type Team struct {
	ID     string  `json:"team"`
	Key    string  `json:"key"`
	Weight float64 `json:"weight"`
}

// Prompt is a kind of prompt.
type Prompt struct {
	Name         string  `json:"name"`
	Weight       float64 `json:"weight"`
	MinTokens    int     `json:"minTokens"`
	MaxTokens    int     `json:"maxTokens"`
	AnswerTokens int     `json:"answer"` // tokens
	TimeoutMs    int64   `json:"timeoutMs"`
}

// Call is a kind of service call.
type Call struct {
	Name          string  `json:"name"`
	Path          string  `json:"path"`
	NonIdempotent bool    `json:"once"` // may not be repeated
	Weight        float64 `json:"weight"`
	TimeoutMs     int64   `json:"timeoutMs"`
}

// Plan is the content of a load file.
type Plan struct {
	Targets           []Target `json:"targets"`
	Model             string   `json:"model"`
	ArrivalRate       float64  `json:"rate"` // arrivals a second
	Teams             []Team   `json:"teams"`
	Prompts           []Prompt `json:"prompts"`
	Services          []Call   `json:"services"`
	SharedPrefixShare float64  `json:"sharedPrefix"` // share of prompts that begin like an earlier one
}

// ReadPlan reads the load file at path.
func ReadPlan(path string) (Plan, error) {
	pl := Plan{}
	if err := parser.ParseFile(path, &pl); err != nil {
		return pl, fmt.Errorf("read load: %w", err)
	}
	if len(pl.Targets) == 0 || len(pl.Teams) == 0 || pl.ArrivalRate <= 0 || len(pl.Prompts)+len(pl.Services) == 0 {
		return pl, fmt.Errorf("read load: %s: targets, teams, a rate above 0 and prompts or services are required", path)
	}
	return pl, nil
}

// arrival is one request to be made.
type arrival struct {
	Number int
	At     time.Duration // after the start
	Team   Team
	Prompt *Prompt
	Call   *Call
	Tokens int
	Seed   uint64 // of the prompt's text
	Prefix uint64 // of the text's beginning
	Target int
}

// schedule returns the arrivals of a run: a Poisson process.
func (pl Plan) schedule(seed uint64, length time.Duration) []arrival {
	const prefixes = 40 // beginnings shared by prompts
	rng := rand.New(rand.NewPCG(seed, 7))
	out := []arrival{}
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / pl.ArrivalRate * float64(time.Second))
		if at >= length {
			return out
		}
		ar := arrival{Number: len(out), At: at, Seed: rng.Uint64(), Target: rng.IntN(len(pl.Targets))}
		ar.Prefix = ar.Seed
		if rng.Float64() < pl.SharedPrefixShare {
			ar.Prefix = rng.Uint64N(prefixes)
		}
		ar.Team = pl.Teams[pick(rng, len(pl.Teams), func(i int) float64 { return pl.Teams[i].Weight })]
		kind := pick(rng, len(pl.Prompts)+len(pl.Services), pl.weight)
		if kind < len(pl.Prompts) {
			ar.Prompt = &pl.Prompts[kind]
			ar.Tokens = ar.Prompt.MinTokens + rng.IntN(ar.Prompt.MaxTokens-ar.Prompt.MinTokens+1)
		} else {
			ar.Call = &pl.Services[kind-len(pl.Prompts)]
		}
		out = append(out, ar)
	}
}

func (pl Plan) weight(kind int) float64 {
	if kind < len(pl.Prompts) {
		return pl.Prompts[kind].Weight
	}
	return pl.Services[kind-len(pl.Prompts)].Weight
}

func pick(rng *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := rng.Float64() * sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// text returns a prompt of the arrival's length: a beginning from its prefix,
// the rest from its seed.
func (ar arrival) text() string {
	const sharedTokens = 2048
	const tokenBytes = 4
	size := ar.Tokens * tokenBytes
	out := make([]byte, 0, size+64)
	shared := min(size/2, sharedTokens*tokenBytes)
	for len(out) < shared {
		out = fmt.Appendf(out, "survey notes %016x, ", ar.Prefix)
	}
	out = out[:shared]
	for i := 0; len(out) < size; i++ {
		out = fmt.Appendf(out, "house %016x line %08d; ", ar.Seed, i)
	}
	return string(out[:size])
}
