package explainer_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/mulberrylever/mulberrylever/internal/command/explainer"
)

// TestExplain runs the scripts in testdata. Each gives a log and the expected
// history of a request in it.
func TestExplain(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			request := ""
			td.ScanArgs(t, "request", &request)
			ex := &explainer.Explainer{Request: request}
			if err := ex.Read(strings.NewReader(td.Input)); err != nil {
				return err.Error()
			}
			out := &strings.Builder{}
			if err := ex.Write(out); err != nil {
				return err.Error()
			}
			return out.String()
		})
	})
}
