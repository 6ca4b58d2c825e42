package loader_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
)

// TestFaults checks the error messages for invalid files with the scripts in
// testdata/faults.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, td *datadriven.TestData) string {
		var err error
		switch td.Cmd {
		case "settings":
			_, err = loader.Parse([]byte(td.Input))
		case "config":
			_, err = configurer.Parse([]byte(td.Input))
		default:
			t.Fatalf("%s: unknown command %q", td.Pos, td.Cmd)
		}
		if err != nil {
			return err.Error()
		}
		return "no fault"
	})
}

// FuzzParse checks that neither kind of file is accepted with faults, whatever
// its bytes are.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"vm": "a", // comment
		"limits": {"drainMs": 1}}`))
	f.Add([]byte(`{"retries": {"maxAttempts": -1}, "x": [1,]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if se, err := loader.Parse(data); err == nil && len(se.Check()) > 0 {
			t.Fatal("accepted settings with faults")
		}
		if co, err := configurer.Parse(data); err == nil && len(co.Check()) > 0 {
			t.Fatal("accepted a configuration with faults")
		}
	})
}
