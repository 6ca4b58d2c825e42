package granter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/granter"
)

// script runs the commands of one testdata file against one granter.
type script struct {
	gr  *granter.Granter
	now time.Time
}

var start = time.Unix(1000, 0)

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.HasArg("at") {
				sc.now = start.Add(duration(t, td, "at"))
			}
			return sc.run(t, td)
		})
	})
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	switch td.Cmd {
	case "endpoint":
		ep := ml.Endpoint{ID: "e", Kind: ml.EndpointKind(text(td, "kind", "engine"))}
		ep.Memory, ep.MaxRequests = ml.Tokens(number(t, td, "memory", 400_000)), number(t, td, "max", 32)
		ep.ColdRequests, ep.ColdTokens = number(t, td, "cold", 2), ml.Tokens(number(t, td, "coldTokens", 16_000))
		sc.gr = granter.New(ep, ml.DefaultTiming(), 0.7)
		return ""
	case "warm":
		sc.gr.Reconcile(sc.now, ml.EngineReport{Incarnation: "i"})
		sc.gr.RecordLoad(sc.now, ml.EngineLoad{Incarnation: "i", Warm: true, PrefillRate: 100_000})
		for range number(t, td, "successes", 30) {
			sc.gr.Release(sc.now, "", ml.OutcomeCompleted)
		}
	case "enqueue":
		if err := sc.gr.Enqueue(sc.now, sc.newRequest(t, td)); err != nil {
			return err.Error()
		}
	case "flood":
		return sc.flood(t, td)
	case "rate":
		return fmt.Sprintf("%.0f", sc.gr.Load(sc.now).PrefillRate)
	case "grant":
		return sc.grant()
	case "confirm":
		sc.gr.Confirm(sc.now, ml.GrantID(text(td, "id", "")), ml.Incarnation(text(td, "incarnation", "i")))
	case "started":
		sc.gr.MarkStarted(sc.now, ml.GrantID(text(td, "id", "")))
	case "keepalive":
		sc.gr.KeepAlive(sc.now, ml.GrantID(text(td, "id", "")))
	case "release":
		sc.gr.Release(sc.now, ml.GrantID(text(td, "id", "")), ml.GrantOutcome(text(td, "outcome", "completed")))
	case "report":
		return sc.report(td)
	case "rejected":
		out := []string{}
		for _, rq := range sc.gr.TakeRejected(sc.now) {
			out = append(out, string(rq.ID))
		}
		return strings.Join(out, " ")
	case "load":
		lo := sc.gr.Load(sc.now)
		return fmt.Sprintf("requests=%d waiting=%d window=%d prefill=%d memory=%d cold=%t", lo.Requests, lo.Waiting, lo.Window, lo.PrefillAhead[ml.Huge], lo.Memory, lo.Cold)
	default:
		t.Fatalf("%s: unknown command %q", td.Pos, td.Cmd)
	}
	return ""
}

func (sc *script) newRequest(t *testing.T, td *datadriven.TestData) granter.Request {
	prompt := ml.Tokens(number(t, td, "prompt", 1000))
	return granter.Request{
		ID: ml.GrantID(text(td, "id", "")), Team: ml.TeamID(text(td, "team", "t")), Weight: float64(number(t, td, "weight", 1)),
		Length: length(text(td, "length", "short")), Prompt: prompt, Memory: prompt, Member: td.HasArg("member"),
		Deadline:    sc.now.Add(time.Duration(number(t, td, "withinS", 60)) * time.Second),
		MinDuration: time.Duration(number(t, td, "minDurationS", 0)) * time.Second,
		MaxWait:     time.Duration(number(t, td, "maxWaitMs", 0)) * time.Millisecond,
	}
}

// flood enqueues many requests and counts the refusals.
func (sc *script) flood(t *testing.T, td *datadriven.TestData) string {
	refused := 0
	for i := range number(t, td, "count", 1) {
		rq := sc.newRequest(t, td)
		rq.ID = ml.GrantID(fmt.Sprintf("%s%d", rq.ID, i+1))
		if err := sc.gr.Enqueue(sc.now, rq); err != nil {
			refused++
		}
	}
	return fmt.Sprintf("%d refused", refused)
}

// grant grants all requests that the endpoint can take and lists their ids.
func (sc *script) grant() string {
	out := []string{}
	for {
		rq, found := sc.gr.GrantNext(sc.now)
		if !found {
			return strings.Join(out, " ")
		}
		out = append(out, string(rq.ID))
	}
}

// report passes the engine's report: an id and its unprocessed tokens a line.
// It lists the holds to cancel.
func (sc *script) report(td *datadriven.TestData) string {
	re := ml.EngineReport{Incarnation: ml.Incarnation(text(td, "incarnation", "i"))}
	for _, line := range strings.Split(strings.TrimSpace(td.Input), "\n") {
		ho := ml.Hold{Kind: "stream", Tokens: 1000}
		if n, _ := fmt.Sscan(line, &ho.ID, &ho.Prefill); n > 0 {
			re.Holds = append(re.Holds, ho)
		}
	}
	out := []string{}
	for _, id := range sc.gr.Reconcile(sc.now, re) {
		out = append(out, "cancel "+string(id))
	}
	return strings.Join(out, "\n")
}

func length(name string) ml.Length {
	for le := ml.Short; le <= ml.Huge; le++ {
		if le.String() == name {
			return le
		}
	}
	panic("unknown length " + name)
}

func text(td *datadriven.TestData, key, fallback string) string {
	for _, ca := range td.CmdArgs {
		if ca.Key == key && len(ca.Vals) > 0 {
			return ca.Vals[0]
		}
	}
	return fallback
}

func number(t *testing.T, td *datadriven.TestData, key string, fallback int) int {
	n := fallback
	if td.HasArg(key) {
		td.ScanArgs(t, key, &n)
	}
	return n
}

func duration(t *testing.T, td *datadriven.TestData, key string) time.Duration {
	d, err := time.ParseDuration(text(td, key, "0s"))
	if err != nil {
		t.Fatalf("%s: %v", td.Pos, err)
	}
	return d
}

// TestWaitWhileWindowGrows guards against refusals of requests that would be served in time: the
// wait that is estimated must be the one that a long queue really has.
func TestWaitWhileWindowGrows(t *testing.T) {
	const (
		serviceTime = 500 * time.Millisecond // as a granter assumes at first
		step        = 5 * time.Millisecond
		tolerance   = serviceTime // the first answers end together here, and at any time elsewhere
	)
	for _, queued := range []int{3, 10, 30, 100, 200} {
		gr := granter.New(ml.Endpoint{ID: "e", Kind: ml.KindService, MaxRequests: 32, ColdRequests: 8}, ml.DefaultTiming(), 1)
		for range 16 { // the answers that make it warm
			gr.Release(start, "", ml.OutcomeCompleted)
		}
		last := granter.Request{ID: "last", Deadline: start.Add(time.Hour)}
		for i := range queued {
			rq := last
			rq.ID = ml.GrantID(fmt.Sprint(i))
			if err := gr.Enqueue(start, rq); err != nil {
				t.Fatal(err)
			}
		}
		want := gr.EstimateWait(start, last)
		if err := gr.Enqueue(start, last); err != nil {
			t.Fatal(err)
		}
		got := waitOf(gr, last.ID, serviceTime, step)
		if (got - want).Abs() > tolerance {
			t.Errorf("%d queued: a wait of %v was estimated, it was %v", queued, want, got)
		}
	}
}

// waitOf serves each request for a time, and returns after which one of them is granted.
func waitOf(gr *granter.Granter, id ml.GrantID, serviceTime, step time.Duration) time.Duration {
	ends := make(map[ml.GrantID]time.Time)
	for now := start; ; now = now.Add(step) {
		for done, at := range ends {
			if !now.Before(at) {
				gr.Release(now, done, ml.OutcomeCompleted)
				delete(ends, done)
			}
		}
		for rq, found := gr.GrantNext(now); found; rq, found = gr.GrantNext(now) {
			gr.Confirm(now, rq.ID, "")
			if ends[rq.ID] = now.Add(serviceTime); rq.ID == id {
				return now.Sub(start)
			}
		}
	}
}
