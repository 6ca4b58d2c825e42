package apportioner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/apportioner"
)

// The objectives for pauses of short and of long answers.
const shortGap, longGap = 250 * time.Millisecond, time.Second

// TestScripts runs the scripts of testdata. Each engine stands for its flights: s for a short
// answer, p for a long prompt that is prefilled, h for a part of one, d for its answer.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "need" {
				return needs(t, td)
			}
			lo := apportioner.Load{}
			for _, arg := range td.CmdArgs {
				for range countOf(t, td, arg) {
					lo.Add(flightsOf(arg.Key), shortGap, shortGap)
				}
			}
			return fmt.Sprintf("%.2f", lo.Spare(float64(lo.Long)))
		})
	})
}

// needs shows the need after each line of the input: the seconds since the start, and the engines
// with long prompts at that time.
func needs(t *testing.T, td *datadriven.TestData) string {
	ne, out, start := apportioner.Need{}, "", time.Unix(1000, 0)
	for line := range strings.Lines(td.Input) {
		seconds, long := 0.0, 0
		if _, err := fmt.Sscan(line, &seconds, &long); err != nil {
			t.Fatalf("%s: %q: %v", td.Pos, line, err)
		}
		out += fmt.Sprintf("%.1f ", ne.Update(start.Add(time.Duration(seconds*float64(time.Second))), long))
	}
	return strings.TrimSpace(out)
}

// countOf returns the number of engines with the flights of an argument.
func countOf(t *testing.T, td *datadriven.TestData, arg datadriven.CmdArg) int {
	n := 0
	td.ScanArgs(t, arg.Key, &n)
	return n
}

func flightsOf(letters string) []ml.Flight {
	out := []ml.Flight{}
	begun := time.Unix(1000, 0)
	for _, letter := range letters {
		switch letter {
		case 's':
			out = append(out, ml.Flight{GapTarget: shortGap, PrefillTime: 30 * time.Millisecond, FirstEventAt: begun})
		case 'p':
			out = append(out, ml.Flight{GapTarget: longGap, PrefillTime: 2 * time.Second})
		case 'h':
			out = append(out, ml.Flight{GapTarget: longGap, PrefillTime: 2 * time.Second, Partial: true, Helper: true})
		case 'd':
			out = append(out, ml.Flight{GapTarget: longGap, PrefillTime: 2 * time.Second, FirstEventAt: begun})
		}
	}
	return out
}
