package granter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/granter"
)

// script runs the commands of one file against one granter.
type script struct {
	gr  *granter.Granter
	now time.Time
}

var start = time.Unix(1000, 0)

// TestScripts runs the scripts below testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.HasArg("at") {
				sc.now = start.Add(duration(t, td, "at"))
			}
			return sc.run(t, td)
		})
	})
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	switch td.Cmd {
	case "endpoint":
		ep := ml.Endpoint{ID: "e", Kind: ml.EndpointKind(text(td, "kind", "engine"))}
		ep.Memory, ep.MaxRequests = ml.Tokens(number(t, td, "memory", 400_000)), number(t, td, "max", 32)
		ep.ColdRequests, ep.ColdTokens = number(t, td, "cold", 2), ml.Tokens(number(t, td, "coldTokens", 16_000))
		sc.gr = granter.New(ep, ml.DefaultTiming(), 0.7)
		return ""
	case "warm":
		sc.gr.Reconcile(sc.now, ml.EngineReport{Incarnation: "i"})
		sc.gr.Reported(sc.now, ml.EngineLoad{Incarnation: "i", Warm: true, PrefillRate: 100_000})
		for range number(t, td, "successes", 30) {
			sc.gr.Release(sc.now, "", ml.OutcomeCompleted)
		}
	case "ask":
		if err := sc.gr.Enqueue(sc.now, sc.ask(t, td)); err != nil {
			return err.Error()
		}
	case "flood":
		return sc.flood(t, td)
	case "rate":
		return fmt.Sprintf("%.0f", sc.gr.Load(sc.now).PrefillRate)
	case "grant":
		return sc.grant()
	case "confirm":
		sc.gr.Confirm(sc.now, ml.GrantID(text(td, "id", "")), ml.Incarnation(text(td, "incarnation", "i")))
	case "started":
		sc.gr.Started(sc.now, ml.GrantID(text(td, "id", "")))
	case "keep":
		sc.gr.Keep(sc.now, ml.GrantID(text(td, "id", "")))
	case "release":
		sc.gr.Release(sc.now, ml.GrantID(text(td, "id", "")), ml.GrantOutcome(text(td, "outcome", "completed")))
	case "report":
		return sc.report(td)
	case "expired":
		out := []string{}
		for _, as := range sc.gr.Expired(sc.now) {
			out = append(out, string(as.ID))
		}
		return strings.Join(out, " ")
	case "load":
		lo := sc.gr.Load(sc.now)
		return fmt.Sprintf("requests=%d waiting=%d window=%d prefill=%d memory=%d cold=%t", lo.Requests, lo.Waiting, lo.Window, lo.PrefillAhead[ml.Huge], lo.Memory, lo.Cold)
	default:
		t.Fatalf("%s: unknown command %q", td.Pos, td.Cmd)
	}
	return ""
}

func (sc *script) ask(t *testing.T, td *datadriven.TestData) granter.Request {
	prompt := ml.Tokens(number(t, td, "prompt", 1000))
	return granter.Request{
		ID: ml.GrantID(text(td, "id", "")), Team: ml.TeamID(text(td, "team", "t")), Weight: float64(number(t, td, "weight", 1)),
		Length: length(text(td, "length", "short")), Prompt: prompt, Memory: prompt, Member: td.HasArg("member"),
		Deadline: sc.now.Add(time.Duration(number(t, td, "within", 60)) * time.Second),
		Needs:    time.Duration(number(t, td, "needs", 0)) * time.Second,
		MostWait: time.Duration(number(t, td, "mostWait", 0)) * time.Millisecond,
	}
}

// flood asks many times and counts the refusals.
func (sc *script) flood(t *testing.T, td *datadriven.TestData) string {
	refused := 0
	for i := range number(t, td, "count", 1) {
		as := sc.ask(t, td)
		as.ID = ml.GrantID(fmt.Sprintf("%s%d", as.ID, i+1))
		if err := sc.gr.Enqueue(sc.now, as); err != nil {
			refused++
		}
	}
	return fmt.Sprintf("%d refused", refused)
}

// grant grants all that fits and lists the ids.
func (sc *script) grant() string {
	out := []string{}
	for {
		as, found := sc.gr.GrantNext(sc.now)
		if !found {
			return strings.Join(out, " ")
		}
		out = append(out, string(as.ID))
	}
}

// report gives the engine's list: one id and its unprocessed tokens a line. It
// lists what must be cancelled.
func (sc *script) report(td *datadriven.TestData) string {
	re := ml.EngineReport{Incarnation: ml.Incarnation(text(td, "incarnation", "i"))}
	for _, line := range strings.Split(strings.TrimSpace(td.Input), "\n") {
		ho := ml.Hold{Kind: "stream", Tokens: 1000}
		if n, _ := fmt.Sscan(line, &ho.ID, &ho.Prefill); n > 0 {
			re.Holds = append(re.Holds, ho)
		}
	}
	out := []string{}
	for _, id := range sc.gr.Reconcile(sc.now, re) {
		out = append(out, "cancel "+string(id))
	}
	return strings.Join(out, "\n")
}

func length(name string) ml.Length {
	for le := ml.Short; le <= ml.Huge; le++ {
		if le.String() == name {
			return le
		}
	}
	panic("unknown length " + name)
}

func text(td *datadriven.TestData, key, fallback string) string {
	for _, ca := range td.CmdArgs {
		if ca.Key == key && len(ca.Vals) > 0 {
			return ca.Vals[0]
		}
	}
	return fallback
}

func number(t *testing.T, td *datadriven.TestData, key string, fallback int) int {
	n := fallback
	if td.HasArg(key) {
		td.ScanArgs(t, key, &n)
	}
	return n
}

func duration(t *testing.T, td *datadriven.TestData, key string) time.Duration {
	d, err := time.ParseDuration(text(td, key, "0s"))
	if err != nil {
		t.Fatalf("%s: %v", td.Pos, err)
	}
	return d
}
