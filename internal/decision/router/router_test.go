package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
)

var start = time.Unix(1000, 0)

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		ta := router.NewTable("home", router.Predicted{}, 4, 1)
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			now := start
			if at := text(td, "at"); at != "" {
				d, err := time.ParseDuration(at)
				if err != nil {
					t.Fatal(err)
				}
				now = start.Add(d)
			}
			return run(t, td, ta, now)
		})
	})
}

func run(t *testing.T, td *datadriven.TestData, ta *router.Table, now time.Time) string {
	switch td.Cmd {
	case "update":
		for _, line := range strings.Split(td.Input, "\n") {
			var id, domain string
			lo := ml.EndpointLoad{Window: 32, PrefillRate: 100_000, MeanServiceMs: 500}
			var short, all ml.Tokens
			if _, err := fmt.Sscan(line, &id, &domain, &lo.Requests, &all, &short); err != nil {
				t.Fatalf("%s: %v", td.Pos, err)
			}
			lo.PrefillAhead = [ml.NumLengths]ml.Tokens{short, short, all, all}
			ep := ml.Endpoint{ID: ml.EndpointID(id), Domain: ml.DomainID(domain), Kind: ml.KindEngine, Model: "m", Memory: 400_000}
			ta.Update(now, ep, "owner", lo)
		}
	case "own":
		ep := ml.Endpoint{ID: ml.EndpointID(text(td, "id")), Domain: "home", Kind: ml.KindEngine, Model: "m", Memory: 400_000}
		ta.Self = "self"
		ta.Update(now, ep, ta.Self, ml.EndpointLoad{Window: 32, PrefillRate: 100_000, MeanServiceMs: 500})
	case "remove":
		ta.Remove(ml.EndpointID(text(td, "id")))
	case "pick":
		return pick(t, td, ta, now)
	case "cacheUse":
		for range 50 {
			ta.RecordCacheUse(7, ml.Tokens(number(t, td, "cached")))
		}
	case "maxWait":
		re := router.Request{Model: "m", Prompt: 1000, Memory: 1000}
		ca, _ := ta.Pick(now, re, nil)
		return fmt.Sprint(ca.Endpoint.ID, " ", ta.MaxWait(now, re, ca).Round(time.Millisecond))
	default:
		t.Fatalf("%s: unknown command %q", td.Pos, td.Cmd)
	}
	return ""
}

// pick picks many times and lists the chosen endpoints.
func pick(t *testing.T, td *datadriven.TestData, ta *router.Table, now time.Time) string {
	re := router.Request{Model: "m", Prompt: 1000, Memory: 1000}
	if td.HasArg("long") {
		re.Length, re.Prompt, re.Memory = ml.Long, 100_000, 100_000
	}
	if td.HasArg("medium") {
		re.Length = ml.Medium
	}
	if td.HasArg("prefix") {
		re.PrefixHash = 7
	}
	times := 200
	if td.HasArg("times") {
		td.ScanArgs(t, "times", &times)
	}
	avoid := []ml.EndpointID{}
	if id := text(td, "avoid"); id != "" {
		avoid = append(avoid, ml.EndpointID(id))
	}
	picked := []string{}
	for range times {
		ca, found := ta.Pick(now, re, avoid)
		if !found {
			return "none"
		}
		if td.HasArg("offer") {
			ta.RecordOffer(ca.Endpoint.ID, re)
		}
		picked = append(picked, string(ca.Endpoint.ID))
	}
	slices.Sort(picked)
	return strings.Join(slices.Compact(picked), " ")
}

func number(t *testing.T, td *datadriven.TestData, key string) int {
	n := 0
	td.ScanArgs(t, key, &n)
	return n
}

func text(td *datadriven.TestData, key string) string {
	for _, ca := range td.CmdArgs {
		if ca.Key == key && len(ca.Vals) > 0 {
			return ca.Vals[0]
		}
	}
	return ""
}

// BenchmarkPick shows that a pick takes the same time and memory however many
// endpoints there are.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 6500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			ta := router.NewTable("home", router.Predicted{}, 4, 1)
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range n {
				ep := ml.Endpoint{ID: ml.EndpointID(fmt.Sprintf("e%d", i)), Kind: ml.KindEngine, Model: "m", Memory: 400_000}
				ta.Update(start, ep, "owner", ml.EndpointLoad{Requests: rng.IntN(30), Window: 32, PrefillAhead: [ml.NumLengths]ml.Tokens{ml.Tokens(rng.IntN(100_000))}, PrefillRate: 100_000})
			}
			re := router.Request{Model: "m", Prompt: 2000, Memory: 2100, PrefixHash: 5}
			b.ReportAllocs()
			for b.Loop() {
				ca, _ := ta.Pick(start, re, nil)
				ta.RecordOffer(ca.Endpoint.ID, re)
				ta.RecordEnd(ca.Endpoint.ID)
			}
		})
	}
}

// TestPickWithFewFreshEndpoints checks that a pick finds an endpoint when only a
// few of many known ones still get loads. This is the case on an entry VM that
// receives the heartbeats of a sample of a large fleet.
func TestPickWithFewFreshEndpoints(t *testing.T) {
	ta := router.NewTable("home", router.Predicted{}, 4, 1)
	endpoint := func(i int) ml.Endpoint {
		return ml.Endpoint{ID: ml.EndpointID(fmt.Sprintf("e%d", i)), Kind: ml.KindEngine, Model: "m", Memory: 400_000}
	}
	const known, fresh = 1000, 3
	now := start
	for i := range known {
		ta.Update(now, endpoint(i), "owner", ml.EndpointLoad{Window: 32, PrefillRate: 100_000})
	}
	for range 100 {
		now = now.Add(10 * time.Second)
		for i := range fresh {
			ta.Update(now, endpoint(i), "owner", ml.EndpointLoad{Window: 32, PrefillRate: 100_000})
		}
		ta.Expire(now)
		if _, found := ta.Pick(now, router.Request{Model: "m", Prompt: 1000, Memory: 1000}, nil); !found {
			t.Fatalf("no pick although %d of %d endpoints are fresh", fresh, known)
		}
	}
	if owner, receivedAt := ta.Owner("e999"); owner != "owner" || receivedAt != start {
		t.Fatalf("owner %q with a load of %v: the owner of a stale endpoint was not kept", owner, receivedAt)
	}
}
