package hedger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/mulberrylever/mulberrylever/internal/decision/hedger"
)

// TestScripts runs the scripts of testdata.
func TestScripts(t *testing.T) {
	bu, ti := &hedger.Budget{}, &hedger.Times{}
	datadriven.RunTest(t, "testdata/hedge", func(t *testing.T, td *datadriven.TestData) string {
		n, ms, busy, places := 1, 0, 0, 0
		td.MaybeScanArgs(t, "n", &n)
		td.MaybeScanArgs(t, "ms", &ms)
		td.MaybeScanArgs(t, "busy", &busy)
		td.MaybeScanArgs(t, "places", &places)
		switch td.Cmd {
		case "limit":
			bu.PerCent = float64(n)
		case "requests":
			for range n {
				bu.RecordRequest()
			}
		case "answers":
			for range n {
				ti.RecordAnswer(time.Duration(ms) * time.Millisecond)
			}
		case "delay":
			return ti.Delay(300 * time.Millisecond).String()
		case "take":
			may := bu.MayTake(busy, places)
			if may {
				bu.Take()
			}
			return fmt.Sprint(may)
		default:
			t.Fatalf("%s: unknown command %q", td.Pos, td.Cmd)
		}
		return ""
	})
}

// TestWithinLimit checks that second copies never exceed their share of the requests and one more.
func TestWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bu := &hedger.Budget{PerCent: float64(rapid.IntRange(0, 30).Draw(rt, "perCent"))}
		requests, copies := 0, 0
		for range rapid.IntRange(1, 500).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "isRequest") {
				bu.RecordRequest()
				requests++
			} else if bu.MayTake(0, 1) {
				bu.Take()
				copies++
			}
			if float64(copies) > bu.PerCent/100*float64(requests)+1e-6 {
				rt.Fatalf("%d copies of %d requests, allowed %g in 100", copies, requests, bu.PerCent)
			}
		}
	})
}
