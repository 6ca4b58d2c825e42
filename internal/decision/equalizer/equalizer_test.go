package equalizer_test

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/equalizer"
)

// TestScripts runs the scripts of testdata.
func TestScripts(t *testing.T) {
	te := &equalizer.Teams{}
	datadriven.RunTest(t, "testdata/shares", func(t *testing.T, td *datadriven.TestData) string {
		name, n, memory := "", 1, 0
		td.MaybeScanArgs(t, "team", &name)
		td.MaybeScanArgs(t, "n", &n)
		td.MaybeScanArgs(t, "memory", &memory)
		switch td.Cmd {
		case "engines":
			*te = equalizer.Teams{Capacity: equalizer.Use{Places: n, Memory: ml.Tokens(memory)}}
		case "running":
			te.AddRunning(ml.TeamID(name), n, ml.Tokens(memory))
		case "waiting":
			for range n {
				te.AddWaiting(ml.TeamID(name), ml.Tokens(memory/n))
			}
		case "behind":
			out := []string{}
			for id := range te.Behind() {
				out = append(out, string(id))
			}
			slices.Sort(out)
			return strings.Join(out, " ")
		default:
			t.Fatalf("%s: unknown command %q", td.Pos, td.Cmd)
		}
		return ""
	})
}

// TestSomeTeamGoesFirst checks that, whatever teams use and ask for, not all that wait are behind,
// and none that uses no more than an equal share of what is used.
func TestSomeTeamGoesFirst(t *testing.T) {
	names := []ml.TeamID{"a", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		te := &equalizer.Teams{Capacity: equalizer.Use{Places: 100, Memory: 1000}}
		running, waiting := map[ml.TeamID]int{}, map[ml.TeamID]bool{}
		total := 0
		for _, id := range names {
			running[id] = rapid.IntRange(0, 30).Draw(rt, "running")
			total += running[id]
			te.AddRunning(id, running[id], 0)
			for range rapid.IntRange(0, 30).Draw(rt, "waiting") {
				te.AddWaiting(id, 0)
				waiting[id] = true
			}
		}
		behind := te.Behind()
		if len(waiting) == 0 && len(behind) > 0 {
			rt.Fatal("a team is behind although nothing waits")
		}
		for id := range behind {
			if running[id]*len(names) <= total {
				rt.Fatalf("team %s uses %d of %d and is behind", id, running[id], total)
			}
		}
		if len(waiting) > 0 && !slices.ContainsFunc(names, func(id ml.TeamID) bool { return !behind[id] }) {
			rt.Fatalf("all teams are behind: %v", slices.Collect(maps.Keys(behind)))
		}
	})
}
