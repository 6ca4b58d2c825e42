package ranker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/ranker"
)

// script holds a configuration whose ranks are asked for.
type script struct{ config ml.ServingConfig }

// TestScripts runs the scripts of testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{config: ml.ServingConfig{Services: []ml.ServiceSpec{{Name: "lm"}, {Name: "app"}}}}
		datadriven.RunTest(t, path, sc.run)
	})
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	name, rank, service := "", 0, "lm"
	td.MaybeScanArgs(t, "name", &name)
	td.MaybeScanArgs(t, "rank", &rank)
	td.MaybeScanArgs(t, "service", &service)
	pr := ml.Priority(rank)
	switch td.Cmd {
	case "route":
		sc.config.Routes = append(sc.config.Routes, ml.Route{
			Name: ml.RouteName(name), Priority: pr, Public: td.HasArg("public"),
			Services: []ml.WeightedService{{Service: ml.ServiceName(service), Weight: 1}},
		})
	case "team":
		tk := ml.TeamKeys{Team: ml.TeamID(name)}
		if td.HasArg("rank") {
			tk.Priority = &pr
		}
		sc.config.Teams = append(sc.config.Teams, tk)
	case "ranges":
		ranker.SetRanges(&sc.config)
		out := ""
		for _, sp := range sc.config.Services {
			out += fmt.Sprintf("%s %d-%d\n", sp.Name, sp.Ranks.Highest, sp.Ranks.Lowest)
		}
		return out
	case "request":
		return sc.request(t, td)
	default:
		t.Fatalf("%s: unknown command %q", td.Pos, td.Cmd)
	}
	return ""
}

// request shows the rank of a request of a route and a team, and how it weighs after a wait.
func (sc *script) request(t *testing.T, td *datadriven.TestData) string {
	route, team, waited := 0, -1, "0s"
	td.ScanArgs(t, "route", &route)
	td.MaybeScanArgs(t, "team", &team)
	td.MaybeScanArgs(t, "waited", &waited)
	te := (*ml.TeamKeys)(nil)
	if team >= 0 {
		te = &sc.config.Teams[team]
	}
	ranker.SetRanges(&sc.config)
	rr := sc.config.Services[0].Ranks
	pr := ranker.Effective(&sc.config.Routes[route], te)
	since := time.Unix(1000, 0)
	wait, err := time.ParseDuration(waited)
	if err != nil {
		t.Fatal(err)
	}
	now := since.Add(wait)
	weight := ranker.AgedWeight(now, since, ranker.Weight(&sc.config.Routes[route], te, rr))
	return fmt.Sprintf("rank %d, aged %d, weight %g, at the engine %d", pr, ranker.Aged(now, since, pr, rr), weight, ranker.ForEngine(pr, rr, 7))
}
