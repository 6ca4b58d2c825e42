package scaler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/scaler"
)

// TestDecide runs the script testdata/decide. Each line describes an engine as
// "id model requests", or "id model off".
func TestDecide(t *testing.T) {
	sc := scaler.Scaler{}
	li := scaler.Limits{WakeAbovePerCent: 70, SleepBelowPerCent: 20, MinOrderInterval: 10 * time.Second, MinAwake: 1}
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, td *datadriven.TestData) string {
		at := 0
		td.ScanArgs(t, "at", &at)
		engines := []scaler.Engine{}
		for _, line := range strings.Split(td.Input, "\n") {
			en := scaler.Engine{Endpoint: ml.Endpoint{MaxRequests: 10}}
			state := ""
			if _, err := fmt.Sscan(line, &en.Endpoint.ID, &en.Endpoint.Model, &state); err != nil {
				t.Fatalf("%s: %v", td.Pos, err)
			}
			if _, err := fmt.Sscan(state, &en.Load.Requests); err == nil {
				en.Awake = true
			}
			engines = append(engines, en)
		}
		out, now := []string{}, time.Unix(int64(1000+at), 0)
		for _, or := range sc.Decide(now, engines, li) {
			out = append(out, or.Action+" "+string(or.Endpoint.ID))
			if !td.HasArg("withheld") {
				sc.RecordOrder(now, or)
			}
		}
		return strings.Join(out, "\n")
	})
}
