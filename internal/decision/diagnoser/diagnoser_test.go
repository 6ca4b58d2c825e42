package diagnoser_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/diagnoser"
)

// TestScripts runs the scripts of testdata: engines that have been silent for a time, with flights
// that need some prefill time.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		since := time.Unix(1000, 0)
		flights := []ml.Flight{}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			switch td.Cmd {
			case "engine":
				flights = nil
			case "prompt":
				fl := ml.Flight{PrefillTime: duration(t, td, "prefill")}
				if td.HasArg("begun") {
					fl.FirstEventAt = since.Add(duration(t, td, "begun"))
				}
				flights = append(flights, fl)
			case "silent":
				si := diagnoser.Silence{Since: since, Patience: duration(t, td, "patience")}
				return si.StayFor(since.Add(duration(t, td, "for")), flights).String()
			default:
				t.Fatalf("%s: unknown command %q", td.Pos, td.Cmd)
			}
			return ""
		})
	})
}

func duration(t *testing.T, td *datadriven.TestData, key string) time.Duration {
	text := ""
	td.ScanArgs(t, key, &text)
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("%s: %v", td.Pos, err)
	}
	return d
}
