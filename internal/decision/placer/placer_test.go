package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
)

var start = time.Unix(1000, 0)

// profile returns the profile of an engine that prefills 177 tokens per
// millisecond.
func profile() *ml.EngineProfile {
	return &ml.EngineProfile{
		Slots: 16, Memory: 315_000, StepsPerPass: 51, Chunk: 2048, Step: 850 * time.Microsecond, StepPerSequence: 4 * time.Microsecond,
		StepPerKiloToken: 3 * time.Microsecond, PrefillRate: 177_000, PrefillPerMillionPairs: 184 * time.Microsecond, MeanAnswer: 1600,
	}
}

// script is the state of one script: its engines and their flights.
type script struct {
	now        time.Time
	candidates []placer.Candidate
	flights    int
}

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{now: start}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string { return sc.run(t, td) })
	})
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	switch td.Cmd {
	case "engines":
		sc.candidates = nil
		for i := range number(t, td, "n", 1) {
			ep := ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: ml.EndpointID(fmt.Sprintf("e%d", i)), Domain: "d", MaxRequests: 16}}
			sc.candidates = append(sc.candidates, placer.Candidate{Endpoint: ep})
		}
	case "flight":
		sc.flight(t, td)
	case "set":
		ca := &sc.candidates[number(t, td, "e", 0)]
		ca.Blocked = td.HasArg("blocked")
		ca.FailureRate = float64(number(t, td, "failurePercent", 0)) / 100
		if td.HasArg("domain") {
			td.ScanArgs(t, "domain", (*string)(&ca.Endpoint.Domain))
		}
		ca.TieBreak = uint64(number(t, td, "tieBreak", 0))
	case "choose":
		return sc.choose(t, td)
	default:
		t.Fatalf("%s: unknown command %q", td.Pos, td.Cmd)
	}
	return ""
}

// flight adds flights to an engine, in prefill or, with the argument decoding, in
// decode.
func (sc *script) flight(t *testing.T, td *datadriven.TestData) {
	prompt := ml.Tokens(number(t, td, "prompt", 5000))
	age := time.Duration(number(t, td, "age", 0)) * time.Millisecond
	for range number(t, td, "n", 1) {
		sc.flights++
		fl := ml.Flight{
			ID: ml.FlightID(fmt.Sprintf("f%d", sc.flights)), SentAt: sc.now.Add(-age), PrefillTime: forecaster.PrefillTime(profile(), prompt, 1),
			DecodeTime: time.Duration(number(t, td, "decodeMs", 1600)) * time.Millisecond, Memory: prompt, Value: placer.RequestValue(prompt),
			FirstEventTarget: sc.now.Add(time.Duration(number(t, td, "target", 300)) * time.Millisecond), GapTarget: time.Duration(number(t, td, "gap", 250)) * time.Millisecond,
		}
		if td.HasArg("decoding") {
			fl.FirstEventAt = fl.SentAt
		}
		ca := &sc.candidates[number(t, td, "e", 0)]
		ca.Flights = append(ca.Flights, fl)
	}
}

func (sc *script) choose(t *testing.T, td *datadriven.TestData) string {
	prompt := ml.Tokens(number(t, td, "prompt", 5000))
	target := time.Duration(number(t, td, "target", 300)) * time.Millisecond
	rq := &placer.Request{
		Profile: profile(), Prompt: prompt, Answer: 1600, FirstEventTarget: sc.now.Add(target), FirstEventDeadline: sc.now.Add(max(4*target, 2*time.Second)),
		GapTarget: time.Duration(number(t, td, "gap", 250)) * time.Millisecond, Value: placer.RequestValue(prompt), Domain: "d",
		UnseenRequests: float64(number(t, td, "unseen", 0)), SpareEngines: float64(number(t, td, "sparePercent", 0)) / 100, IsExact: td.HasArg("exact"),
	}
	ch := placer.Choose(sc.now, rq, sc.candidates)
	switch {
	case ch.Refused:
		return fmt.Sprintf("refused, retry after %s", ch.RetryAfter.Round(time.Millisecond))
	case ch.Wait:
		return "wait"
	}
	out := fmt.Sprintf("e%d", ch.Lead)
	for _, i := range ch.Helpers {
		out += fmt.Sprintf(" +e%d", i)
	}
	if ch.HelperMemory > 0 {
		out += fmt.Sprintf(" memory %d", ch.HelperMemory)
	}
	return out
}

// number returns the argument key, or value if it is absent.
func number(t *testing.T, td *datadriven.TestData, key string, value int) int {
	if td.HasArg(key) {
		td.ScanArgs(t, key, &value)
	}
	return value
}

// TestAnyLoad checks for random loads that a choice contains only engines that are
// not blocked, each at most once, and that no prompt is refused while an idle
// engine can prefill it in time.
func TestAnyLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := &script{now: start}
		idle := false
		for i := range rapid.IntRange(1, 8).Draw(rt, "engines") {
			ca := placer.Candidate{
				Endpoint: ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: ml.EndpointID(fmt.Sprint(i))}},
				Blocked:  rapid.Bool().Draw(rt, "blocked"),
			}
			for j := range rapid.IntRange(0, 18).Draw(rt, "flights") {
				prompt := ml.Tokens(rapid.IntRange(0, 300_000).Draw(rt, "prompt"))
				fl := ml.Flight{
					ID: ml.FlightID(fmt.Sprintf("%d-%d", i, j)), SentAt: start.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(rt, "age")) * time.Millisecond),
					PrefillTime: forecaster.PrefillTime(profile(), prompt, 1), DecodeTime: time.Second, Memory: prompt, Value: placer.RequestValue(prompt), GapTarget: time.Second,
				}
				if rapid.Bool().Draw(rt, "decoding") {
					fl.FirstEventAt = fl.SentAt
				}
				ca.Flights = append(ca.Flights, fl)
			}
			idle = idle || !ca.Blocked && len(ca.Flights) == 0
			sc.candidates = append(sc.candidates, ca)
		}
		prompt := ml.Tokens(rapid.IntRange(1, 700_000).Draw(rt, "new"))
		target := 3 * time.Second
		rq := &placer.Request{
			Profile: profile(), Prompt: prompt, Answer: 100, FirstEventTarget: start.Add(target), FirstEventDeadline: start.Add(4 * target),
			GapTarget: time.Second, Value: placer.RequestValue(prompt),
		}
		ch := placer.Choose(start, rq, sc.candidates)
		if idle && prompt < 200_000 && ch.Refused {
			rt.Fatalf("prompt of %d tokens refused although an engine is idle", prompt)
		}
		if ch.Refused || ch.Wait {
			return
		}
		used := map[int]bool{}
		for _, i := range append([]int{ch.Lead}, ch.Helpers...) {
			if used[i] || sc.candidates[i].Blocked {
				rt.Fatalf("engine %d is blocked or chosen twice: %+v", i, ch)
			}
			used[i] = true
		}
	})
}

// TestChooseService checks that failing, full and blocked endpoints are avoided.
func TestChooseService(t *testing.T) {
	g := gomega.NewWithT(t)
	all := []placer.ServiceCandidate{{Running: 6}, {Running: 1, FailureRate: 0.6}, {Running: 2, FailureRate: 0.1}, {Blocked: true}}
	for i := range all {
		all[i].Endpoint.MaxRequests = 6
	}
	for _, roll := range []float64{0, 0.3, 0.6, 0.99} {
		g.Expect(placer.ChooseService("", all, roll)).To(gomega.Equal(2))
	}
	g.Expect(placer.ChooseService("", all[3:], 0)).To(gomega.Equal(-1))
}
