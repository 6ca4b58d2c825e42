// Package generator is the load tool of demos and tests. It reads a mix of prompts,
// teams and service calls from a load file, sends it as an open loop with seeded
// random arrivals, and compares every answer with the one that the stand-in engine
// must give.
package generator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// Target is an entry VM to which the load balancer simulated here sends requests.
type Target struct {
	Address      string `json:"address"` // for requests of callers
	AdminAddress string `json:"ready"`   // for readiness probes
}

// Team is a team that sends a share of the load.
type Team struct {
	ID     string  `json:"team"`
	Key    string  `json:"key"`
	Weight float64 `json:"weight"`
}

// Prompt configures one kind of prompt.
type Prompt struct {
	Name         string  `json:"name"`
	Weight       float64 `json:"weight"`
	MinTokens    int     `json:"minTokens"`
	MaxTokens    int     `json:"maxTokens"`
	AnswerTokens int     `json:"answer"` // length of the answer
	TimeoutMs    int64   `json:"timeoutMs"`
}

// Call configures one kind of service call.
type Call struct {
	Name          string  `json:"name"`
	Path          string  `json:"path"`
	NonIdempotent bool    `json:"once"` // must not run more than once
	Weight        float64 `json:"weight"`
	TimeoutMs     int64   `json:"timeoutMs"`
}

// Plan is the content of a load file.
type Plan struct {
	Targets           []Target `json:"targets"`
	Model             string   `json:"model"`
	ArrivalRate       float64  `json:"rate"` // mean requests per second
	Teams             []Team   `json:"teams"`
	Prompts           []Prompt `json:"prompts"`
	Services          []Call   `json:"services"`
	SharedPrefixShare float64  `json:"sharedPrefix"` // share of prompts that begin with one of a few common prefixes, 0 to 1
}

// ReadPlan reads and checks the load file at path.
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

// arrival is a planned request, either a prompt or a service call.
type arrival struct {
	Number      int
	StartOffset time.Duration // from the start of the run
	Team        Team
	Prompt      *Prompt
	Call        *Call
	Tokens      int    // length of the prompt
	TextSeed    uint64 // generates the prompt's text after the prefix
	PrefixSeed  uint64 // generates the prompt's prefix
	TargetIndex int    // preferred target
}

// schedule returns the arrivals of a run. They form a Poisson process.
func (pl Plan) schedule(seed uint64, duration time.Duration) []arrival {
	const prefixCount = 40 // number of common prefixes
	rng := rand.New(rand.NewPCG(seed, 7))
	out := []arrival{}
	offset := time.Duration(0)
	for {
		offset += time.Duration(rng.ExpFloat64() / pl.ArrivalRate * float64(time.Second))
		if offset >= duration {
			return out
		}
		ar := arrival{Number: len(out), StartOffset: offset, TextSeed: rng.Uint64(), TargetIndex: rng.IntN(len(pl.Targets))}
		ar.PrefixSeed = ar.TextSeed
		if rng.Float64() < pl.SharedPrefixShare {
			ar.PrefixSeed = rng.Uint64N(prefixCount)
		}
		ar.Team = pl.Teams[pickWeighted(rng, len(pl.Teams), func(i int) float64 { return pl.Teams[i].Weight })]
		kind := pickWeighted(rng, len(pl.Prompts)+len(pl.Services), pl.kindWeight)
		if kind < len(pl.Prompts) {
			ar.Prompt = &pl.Prompts[kind]
			ar.Tokens = ar.Prompt.MinTokens + rng.IntN(ar.Prompt.MaxTokens-ar.Prompt.MinTokens+1)
		} else {
			ar.Call = &pl.Services[kind-len(pl.Prompts)]
		}
		out = append(out, ar)
	}
}

// kindWeight returns the weight of a kind of request. Prompts come first, then
// services.
func (pl Plan) kindWeight(kind int) float64 {
	if kind < len(pl.Prompts) {
		return pl.Prompts[kind].Weight
	}
	return pl.Services[kind-len(pl.Prompts)].Weight
}

// pickWeighted returns a random index below n with a probability proportional to its
// weight.
func pickWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	remaining := rng.Float64() * sum
	for i := range n {
		if remaining -= weight(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}

// text returns a prompt of the arrival's length. Up to half of it, and at most
// maxPrefixTokens, is generated from PrefixSeed, the rest from TextSeed.
func (ar arrival) text() string {
	const maxPrefixTokens = 2048
	const tokenBytes = 4
	textBytes := ar.Tokens * tokenBytes
	out := make([]byte, 0, textBytes+64)
	prefixBytes := min(textBytes/2, maxPrefixTokens*tokenBytes)
	for len(out) < prefixBytes {
		out = fmt.Appendf(out, "survey notes %016x, ", ar.PrefixSeed)
	}
	out = out[:prefixBytes]
	for i := 0; len(out) < textBytes; i++ {
		out = fmt.Appendf(out, "house %016x line %08d; ", ar.TextSeed, i)
	}
	return string(out[:textBytes])
}
