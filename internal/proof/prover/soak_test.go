//go:build soak

package prover_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
	"github.com/mulberrylever/mulberrylever/internal/standin/recorder"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
)

// The fleets at the sizes of the brief.
var soakSizes = map[string]size{
	"tinjau": {domains: 3, entries: 2, extraEntries: 1, engines: 5, services: 1, linked: true, latency: 20 * time.Millisecond},
	"guild":  {domains: 3, entries: 2, engines: 6, extraEngines: 2, services: 1, linked: true, latency: 20 * time.Millisecond},
}

// soak injects failures into a fleet under load.
type soak struct {
	fl    *fleet
	rng   *rand.Rand
	start time.Time

	mu        sync.Mutex
	busy      map[string]bool // what a failure under way has touched
	injected  map[string]int
	trace     []string
	surprises []string // processes that ended by themselves
	chaosNow  recorder.Faults
	checks    map[string]map[auditor.Invariant]int // by process
}

func anyDomain(so *soak) string { return fmt.Sprintf("d%d", 1+so.rng.IntN(so.fl.size.domains)) }

func (so *soak) names() []string {
	out := []string{"platform"}
	for _, en := range so.fl.file.VMs.Entries {
		out = append(out, string(en.ID))
	}
	for _, ep := range so.fl.file.VMs.Endpoints {
		out = append(out, string(ep.ID))
	}
	return out
}

// locked guards the fleet's processes.
func (so *soak) locked(use func()) {
	so.mu.Lock()
	defer so.mu.Unlock()
	use()
}

func (so *soak) note(format string, args ...any) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.trace = append(so.trace, fmt.Sprintf("%8.2f s  ", time.Since(so.start).Seconds())+strings.TrimSpace(fmt.Sprintf(format, args...)))
}

// loopInject injects one failure after another until end. The schedule
// depends on the seed alone, not on how long an operation takes.
func (so *soak) loopInject(end time.Time, rng *rand.Rand, pause time.Duration) {
	defer ginkgo.GinkgoRecover()
	for time.Now().Before(end) {
		so.mu.Lock()
		fa := failures[rng.IntN(len(failures))]
		at := fa.pick(so)
		domain, _, _ := strings.Cut(at, "-")
		touched := so.busy[at] || so.busy[domain]
		if !touched {
			so.busy[at], so.busy[domain] = true, true
			so.injected[fa.name]++
		}
		length := time.Duration(500+rng.IntN(4500)) * time.Millisecond
		so.mu.Unlock()
		if touched {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		so.note("%s at %s for %v", fa.name, at, length)
		undo := fa.do(so, at)
		time.Sleep(length)
		undo()
		so.note("%s at %s is over", fa.name, at)
		time.Sleep(pause)
		so.locked(func() { delete(so.busy, at); delete(so.busy, domain) })
	}
}

// loopCount reads how many checks the entry VMs have made.
func (so *soak) loopCount(ctx context.Context) {
	for ctx.Err() == nil {
		for i, en := range so.fl.file.VMs.Entries {
			counts, err := readChecks(so.fl, en)
			if err == nil {
				so.merge(fmt.Sprintf("%d/%d", i, counts.process), counts.checks)
			}
		}
		time.Sleep(time.Second)
	}
}

func (so *soak) merge(process string, checks map[auditor.Invariant]int) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.checks[process] = checks
}

// checkCounts are the checks that one process has made.
type checkCounts struct {
	process int // its start, in Unix seconds
	checks  map[auditor.Invariant]int
}

func readChecks(fl *fleet, en ml.EntryVM) (checkCounts, error) {
	out := checkCounts{checks: make(map[auditor.Invariant]int)}
	text, err := fl.getText(en.AdminAddress, "/metrics")
	if err != nil {
		return out, err
	}
	for _, line := range strings.Split(text, "\n") {
		var n int
		if _, err := fmt.Sscanf(line, "process_start_time_seconds %d", &n); err == nil {
			out.process = n
		}
		for _, in := range auditor.Invariants {
			prefix := fmt.Sprintf("mulberrylever_invariant_checks_total{invariant=%q} ", in)
			if rest, found := strings.CutPrefix(line, prefix); found {
				out.checks[in], _ = strconv.Atoi(rest)
			}
		}
	}
	return out, nil
}

func (fl *fleet) getText(address, path string) (string, error) {
	rs, err := fl.client.Get("http://" + address + path)
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	return string(text), err
}

// table writes the result of a run.
func (so *soak) table(results []generator.Result, violations []string, logs string) string {
	sb := strings.Builder{}
	tw := tabwriter.NewWriter(&sb, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "invariant\tchecks\tviolations")
	for _, in := range auditor.Invariants {
		n, bad := 0, 0
		for _, checks := range so.checks {
			n += checks[in]
		}
		if in == auditor.GracefulStop {
			// Made right before the end of a process, after the last reading.
			n = strings.Count(logs, `"msg":"stopped"`)
		}
		for _, vi := range violations {
			if strings.Contains(vi, `"invariant":"`+string(in)+`"`) {
				bad++
			}
		}
		fmt.Fprintf(tw, "%s\t%d\t%d\n", in, n, bad)
	}
	fmt.Fprintln(tw, "\nfailure\tinjected\t")
	for _, fa := range failures {
		fmt.Fprintf(tw, "%s\t%d\t\n", fa.name, so.injected[fa.name])
	}
	_ = tw.Flush()
	fmt.Fprintln(&sb)
	_ = generator.WriteTable(&sb, generator.Summarize(results))
	fmt.Fprintf(&sb, "%d requests, %d lost\n", len(results), len(lost(results)))
	return sb.String()
}

// checkRuns compares what callers were told with the runs that the services
// logged, which outlive their processes.
func checkRuns(fl *fleet, results []generator.Result) []string {
	runs, out := make(map[string]int), []string{}
	for _, line := range strings.Split(fl.logs(), "\n") {
		if _, rest, found := strings.Cut(line, `"msg":"run","key":"`); found {
			key, _, _ := strings.Cut(rest, `"`)
			runs[key]++
		}
	}
	for _, rs := range results {
		n := runs[rs.Key]
		if rs.Key != "" && (n > 1 || (n > 0 && rs.Outcome == generator.Refused) || (n == 0 && rs.Outcome == generator.OK)) {
			out = append(out, fmt.Sprintf("key %s: %s, has run %d times", rs.Key, rs.Outcome, n))
		}
	}
	return out
}

func env(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

var _ = ginkgo.Describe("soak", func() {
	ginkgo.It("keeps every invariant", func() {
		seed, err := strconv.ParseUint(env("SEED", "1"), 10, 64)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		length, err := time.ParseDuration(env("DURATION", "60s"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		fl := startFleet(soakSizes[env("FLEET", "tinjau")], "")
		defer fl.stop()
		fl.plan.ArrivalRate = 25
		fl.plan.SharedPrefixShare = 0.3
		fl.plan.Prompts = []generator.Prompt{
			{Name: "short", Weight: 70, MinTokens: 1000, MaxTokens: 4000, AnswerTokens: 32, TimeoutMs: 15_000},
			{Name: "medium", Weight: 15, MinTokens: 4000, MaxTokens: 30_000, AnswerTokens: 48, TimeoutMs: 25_000},
			{Name: "long", Weight: 2, MinTokens: 100_000, MaxTokens: 200_000, AnswerTokens: 64, TimeoutMs: 60_000},
			{Name: "huge", Weight: 0.2, MinTokens: 900_000, MaxTokens: 1_000_000, AnswerTokens: 64, TimeoutMs: 60_000},
		}
		fl.plan.Services = []generator.Call{
			{Name: "bookings", Path: "/bookings", NonIdempotent: true, Weight: 8, TimeoutMs: 10_000},
			{Name: "bookings", Path: "/bookings/7", Weight: 5, TimeoutMs: 8000},
		}
		so := &soak{
			fl: fl, rng: rand.New(rand.NewPCG(seed, 11)), start: time.Now(), busy: make(map[string]bool),
			injected: make(map[string]int), checks: make(map[string]map[auditor.Invariant]int),
		}
		defer func() {
			if len(so.surprises) > 0 {
				fmt.Println(strings.Join(so.surprises, "\n"))
			}
			if file := os.Getenv("TRACE"); file != "" {
				fl.stop()
				_ = os.WriteFile(file, []byte(strings.Join(append(so.trace, so.surprises...), "\n")+"\n"+fl.logs()), 0o600)
			}
		}()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go so.loopCount(ctx)
		end := so.start.Add(length)
		wg := sync.WaitGroup{}
		wg.Go(func() { so.loopInject(end, rand.New(rand.NewPCG(seed, 12)), 1500*time.Millisecond) })
		wg.Go(func() { so.loopInject(end, rand.New(rand.NewPCG(seed, 13)), 4*time.Second) })
		ge := &generator.Generator{Plan: fl.plan, Seed: seed, Duration: length}
		results, err := ge.Run(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		wg.Wait()
		fl.waitReady(len(fl.file.VMs.Entries))
		held := fl.heldAfter(20 * time.Second)
		overloads := fl.overloads()
		versions := map[ml.Version]bool{}
		for _, en := range fl.file.VMs.Entries {
			versions[fl.version(en)] = true
		}
		fl.stop()
		violations, runs := fl.violations(), checkRuns(fl, results)
		fmt.Printf("soak of %s, seed %d, %v\n%s\n", env("FLEET", "tinjau"), seed, length, so.table(results, violations, fl.logs()))
		gomega.Expect(so.surprises).To(gomega.BeEmpty())
		gomega.Expect(violations).To(gomega.BeEmpty())
		gomega.Expect(runs).To(gomega.BeEmpty())
		gomega.Expect(held).To(gomega.BeEmpty(), "memory still held")
		gomega.Expect(overloads).To(gomega.BeZero(), "cold engines overloaded")
		gomega.Expect(versions).To(gomega.HaveLen(1), "versions in force")
		gomega.Expect(describe(results)).To(gomega.BeEmpty())
	})
})
