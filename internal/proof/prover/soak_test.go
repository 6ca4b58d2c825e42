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

// soakFleets are the fleets by name, with the sizes that the requirements give.
var soakFleets = map[string]fleetSpec{
	"tinjau": {domains: 3, entries: 2, extraEntries: 1, engines: 5, services: 1, relayed: true, serviceLatency: 20 * time.Millisecond},
	"guild":  {domains: 3, entries: 2, engines: 6, extraEngines: 2, services: 1, relayed: true, serviceLatency: 20 * time.Millisecond},
}

// soak injects failures into a fleet under load.
type soak struct {
	fl    *fleet
	rng   *rand.Rand // picks the targets of failures
	start time.Time

	mu              sync.Mutex
	affected        map[string]bool                      // processes and domains with an active failure
	injected        map[string]int                       // number of failures, by name
	trace           []string                             // injected failures with their time
	unexpectedExits []string                             // processes that exited on their own, with the end of their logs
	platformFaults  recorder.Faults                      // active now
	checks          map[string]map[auditor.Invariant]int // newest counts, by process
}

func anyDomain(so *soak) string { return fmt.Sprintf("d%d", 1+so.rng.IntN(so.fl.spec.domains)) }

func (so *soak) processNames() []string {
	out := []string{"platform"}
	for _, en := range so.fl.config.VMs.Entries {
		out = append(out, string(en.ID))
	}
	for _, ep := range so.fl.config.VMs.Endpoints {
		out = append(out, string(ep.ID))
	}
	return out
}

// withLock runs do under the lock that guards the fleet's processes.
func (so *soak) withLock(do func()) {
	so.mu.Lock()
	defer so.mu.Unlock()
	do()
}

func (so *soak) tracef(format string, args ...any) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.trace = append(so.trace, fmt.Sprintf("%8.2f s  ", time.Since(so.start).Seconds())+strings.TrimSpace(fmt.Sprintf(format, args...)))
}

// loopInjectFailures injects one failure after another until end. The schedule
// depends on the seed alone, not on how long an operation takes.
func (so *soak) loopInjectFailures(end time.Time, rng *rand.Rand, pause time.Duration) {
	defer ginkgo.GinkgoRecover()
	for time.Now().Before(end) {
		so.mu.Lock()
		fa := failures[rng.IntN(len(failures))]
		target := fa.pick(so)
		domain, _, _ := strings.Cut(target, "-")
		occupied := so.affected[target] || so.affected[domain]
		if !occupied {
			so.affected[target], so.affected[domain] = true, true
			so.injected[fa.name]++
		}
		duration := time.Duration(500+rng.IntN(4500)) * time.Millisecond
		so.mu.Unlock()
		if occupied {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		so.tracef("%s at %s for %v", fa.name, target, duration)
		undo := fa.inject(so, target)
		time.Sleep(duration)
		undo()
		so.tracef("%s at %s ended", fa.name, target)
		time.Sleep(pause)
		so.withLock(func() { delete(so.affected, target); delete(so.affected, domain) })
	}
}

// loopReadChecks polls the invariant check counters of the entry VMs.
func (so *soak) loopReadChecks(ctx context.Context) {
	for ctx.Err() == nil {
		for i, en := range so.fl.config.VMs.Entries {
			counts, err := readCheckCounts(so.fl, en)
			if err == nil {
				so.storeChecks(fmt.Sprintf("%d/%d", i, counts.startUnixSeconds), counts.checks)
			}
		}
		time.Sleep(time.Second)
	}
}

func (so *soak) storeChecks(process string, checks map[auditor.Invariant]int) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.checks[process] = checks
}

// checkCounts are the invariant check counters of one process.
type checkCounts struct {
	startUnixSeconds int // identifies the process after a restart
	checks           map[auditor.Invariant]int
}

func readCheckCounts(fl *fleet, en ml.EntryVM) (checkCounts, error) {
	out := checkCounts{checks: make(map[auditor.Invariant]int)}
	text, err := fl.getText(en.AdminAddress, "/metrics")
	if err != nil {
		return out, err
	}
	for _, line := range strings.Split(text, "\n") {
		var n int
		if _, err := fmt.Sscanf(line, "process_start_time_seconds %d", &n); err == nil {
			out.startUnixSeconds = n
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

// formatTable returns the report of a run.
func (so *soak) formatTable(results []generator.Result, violations []string, logs string) string {
	sb := strings.Builder{}
	tw := tabwriter.NewWriter(&sb, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "invariant\tchecks\tviolations")
	for _, in := range auditor.Invariants {
		n, bad := 0, 0
		for _, checks := range so.checks {
			n += checks[in]
		}
		if in == auditor.GracefulStop {
			// Checked right before the exit, after the counters were last read.
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
	fmt.Fprintf(&sb, "%d requests, %d lost\n", len(results), len(unexpectedResults(results)))
	return sb.String()
}

// checkServiceRuns compares the results with the runs that the services logged.
// The logs cover services that have been killed, too. It returns a line for each
// key that ran more than once, ran though it was refused, or did not run though
// it succeeded.
func checkServiceRuns(fl *fleet, results []generator.Result) []string {
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
			out = append(out, fmt.Sprintf("key %s: outcome %s, but the service ran it %d times", rs.Key, rs.Outcome, n))
		}
	}
	return out
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

var _ = ginkgo.Describe("soak", func() {
	ginkgo.It("keeps every invariant", func() {
		seed, err := strconv.ParseUint(envOr("SEED", "1"), 10, 64)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		duration, err := time.ParseDuration(envOr("DURATION", "60s"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		fl := startFleet(soakFleets[envOr("FLEET", "tinjau")], "")
		defer fl.stopAll()
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
			fl: fl, rng: rand.New(rand.NewPCG(seed, 11)), start: time.Now(), affected: make(map[string]bool),
			injected: make(map[string]int), checks: make(map[string]map[auditor.Invariant]int),
		}
		defer func() {
			if len(so.unexpectedExits) > 0 {
				fmt.Println(strings.Join(so.unexpectedExits, "\n"))
			}
			if file := os.Getenv("TRACE"); file != "" {
				fl.stopAll()
				_ = os.WriteFile(file, []byte(strings.Join(append(so.trace, so.unexpectedExits...), "\n")+"\n"+fl.logs()), 0o600)
			}
		}()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go so.loopReadChecks(ctx)
		end := so.start.Add(duration)
		wg := sync.WaitGroup{}
		wg.Go(func() { so.loopInjectFailures(end, rand.New(rand.NewPCG(seed, 12)), 1500*time.Millisecond) })
		wg.Go(func() { so.loopInjectFailures(end, rand.New(rand.NewPCG(seed, 13)), 4*time.Second) })
		ge := &generator.Generator{Plan: fl.plan, Seed: seed, Duration: duration}
		results, err := ge.Run(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		wg.Wait()
		fl.waitReady(len(fl.config.VMs.Entries))
		unreleased := fl.remainingHolds(20 * time.Second)
		overloads := fl.coldOverloads()
		versions := map[ml.Version]bool{}
		for _, en := range fl.config.VMs.Entries {
			versions[fl.configVersion(en)] = true
		}
		fl.stopAll()
		violations, runs := fl.violations(), checkServiceRuns(fl, results)
		fmt.Printf("soak of %s, seed %d, %v\n%s\n", envOr("FLEET", "tinjau"), seed, duration, so.formatTable(results, violations, fl.logs()))
		gomega.Expect(so.unexpectedExits).To(gomega.BeEmpty())
		gomega.Expect(violations).To(gomega.BeEmpty())
		gomega.Expect(runs).To(gomega.BeEmpty())
		gomega.Expect(unreleased).To(gomega.BeEmpty(), "holds left on engines")
		gomega.Expect(overloads).To(gomega.BeZero(), "cold engines overloaded")
		gomega.Expect(versions).To(gomega.HaveLen(1), "configuration versions in force")
		gomega.Expect(describeUnexpected(results)).To(gomega.BeEmpty())
	})
})
