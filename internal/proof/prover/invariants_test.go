package prover_test

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
	"github.com/mulberrylever/mulberrylever/internal/standin/recorder"
	"github.com/mulberrylever/mulberrylever/internal/standin/relayer"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

// proof shows one invariant: what is done to the fleet, and what it finds
// wrong. It must find something exactly when the mechanism is off.
type proof struct {
	invariant auditor.Invariant
	mechanism mutator.Mechanism
	size      size
	attack    func(fl *fleet) []string
}

var shorts = generator.Prompt{Name: "short", Weight: 1, MinTokens: 500, MaxTokens: 2000, AnswerTokens: 24, TimeoutMs: 8000}

// describe lists lost results as findings.
func describe(results []generator.Result) []string {
	out := []string{}
	for _, rs := range lost(results) {
		out = append(out, fmt.Sprintf("%s %s %d: %s", rs.Outcome, rs.Kind, rs.Number, rs.Message))
	}
	return out
}

// during runs act while the load is under way, after a delay, and returns the
// results.
func (fl *fleet) during(length, delay time.Duration, act func()) []generator.Result {
	results := make(chan []generator.Result, 1)
	go func() {
		defer ginkgo.GinkgoRecover()
		results <- fl.load(length)
	}()
	time.Sleep(delay)
	act()
	return <-results
}

var proofs = []proof{
	{auditor.FinishInTime, mutator.Deadlines, size{domains: 1, entries: 2, engines: 1}, func(fl *fleet) []string {
		fl.plan.Prompts = []generator.Prompt{shorts}
		fl.plan.Prompts[0].TimeoutMs = 3000
		return describe(fl.during(2*time.Second, time.Second, func() { fl.signal("d1-engine1", syscall.SIGSTOP) }))
	}},
	{auditor.MemoryReturned, mutator.Orphans, size{domains: 1, entries: 2, engines: 3}, func(fl *fleet) []string {
		fl.plan.ArrivalRate = 1
		fl.plan.Prompts = []generator.Prompt{{Name: "huge", Weight: 1, MinTokens: 700_000, MaxTokens: 700_000, AnswerTokens: 400, TimeoutMs: 3000}}
		fl.plan.Targets = fl.plan.Targets[:1]
		fl.during(1500*time.Millisecond, 2*time.Second, func() { fl.kill("d1-entry1") })
		return fl.heldAfter(14 * time.Second)
	}},
	{auditor.ColdCapacity, mutator.ColdLimit, size{domains: 1, entries: 4, engines: 2}, func(fl *fleet) []string {
		fl.plan.ArrivalRate = 150
		fl.plan.Prompts = []generator.Prompt{shorts}
		fl.during(3*time.Second, time.Second, func() { fl.turnCold("d1-engine1"); fl.turnCold("d1-engine2") })
		if n := fl.overloads(); n > 0 {
			return []string{fmt.Sprintf("%d cold engines were overloaded", n)}
		}
		return nil
	}},
	{auditor.DomainOut, mutator.DomainsOut, size{domains: 2, entries: 1, engines: 2}, func(fl *fleet) []string {
		fl.plan.Prompts = []generator.Prompt{shorts}
		return fl.usedAfter(fl.during(6*time.Second, time.Second, func() {
			out, code := fl.operate("domain", "out", "d2", "--reason", "test", "--by", "test")
			gomega.Expect(code).To(gomega.Equal(0), out)
		}), "d2-", 4*time.Second)
	}},
	{auditor.WholeAnswer, mutator.Positions, size{domains: 1, entries: 1, engines: 3}, func(fl *fleet) []string {
		fl.plan.ArrivalRate = 30
		fl.plan.Prompts = []generator.Prompt{shorts}
		fl.plan.Prompts[0].AnswerTokens = 150
		results := fl.during(3*time.Second, 2*time.Second, func() { fl.kill("d1-engine1") })
		return append(describe(results), fl.anyFailed(results)...)
	}},
	{auditor.NotRunTrue, mutator.NotRun, size{domains: 1, entries: 1, services: 1, loseAnswers: 0.5}, func(fl *fleet) []string {
		fl.plan.Services = []generator.Call{{Name: "bookings", Path: "/bookings", NonIdempotent: true, Weight: 1, TimeoutMs: 5000}}
		return describe(fl.load(2 * time.Second))
	}},
	{auditor.AtMostOnce, mutator.Claims, size{domains: 2, entries: 2, services: 1, latency: 400 * time.Millisecond}, func(fl *fleet) []string {
		fl.plan.Services = []generator.Call{{Name: "bookings", Path: "/bookings", NonIdempotent: true, Weight: 1, TimeoutMs: 8000}}
		return describe(fl.during(3*time.Second, 1500*time.Millisecond, func() { fl.kill("d1-entry1") }))
	}},
	{auditor.LeavingEndpoint, mutator.Leaving, size{domains: 1, entries: 2, engines: 2}, func(fl *fleet) []string {
		fl.plan.Prompts = []generator.Prompt{shorts}
		return fl.usedAfter(fl.during(6*time.Second, time.Second, func() {
			fl.chaos(recorder.Faults{Leaving: []string{"d1-engine2"}})
		}), "d1-engine2", 4*time.Second)
	}},
	{auditor.GracefulStop, mutator.Drain, size{domains: 1, entries: 2, engines: 2}, func(fl *fleet) []string {
		fl.plan.Prompts = []generator.Prompt{shorts}
		fl.plan.Prompts[0].AnswerTokens = 100
		out := []string{}
		for _, rs := range fl.during(4*time.Second, time.Second, func() {
			fl.signal("d1-entry1", syscall.SIGTERM)
			gomega.Expect(fl.wait("d1-entry1")).To(gomega.Equal(0))
		}) {
			if rs.Reconnects > 0 || rs.Outcome != generator.OK {
				out = append(out, fmt.Sprintf("request %d was cut off: %s %s", rs.Number, rs.Outcome, rs.Message))
			}
		}
		return out
	}},
	{auditor.ConfigNeverReverts, mutator.Versions, size{domains: 1, entries: 2, linked: true}, func(fl *fleet) []string {
		// The answer to a read that is under way must not wait in the frozen
		// process's socket: it would wake up with the new state.
		fl.cut("platform", "d1-entry1")
		fl.signal("d1-entry1", syscall.SIGSTOP)
		out, code := fl.operate("vm", "out", "d1-entry2", "--reason", "test", "--by", "test", "--wait", "2s")
		gomega.Expect(code).To(gomega.Equal(3), out)
		accepted := fl.version(fl.file.VMs.Entries[1])
		fl.chaos(recorder.Faults{Outage: true})
		fl.signal("d1-entry1", syscall.SIGCONT)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if now := fl.version(fl.file.VMs.Entries[1]); now != accepted {
				return []string{fmt.Sprintf("version %d after %d", now, accepted)}
			}
		}
		return nil
	}},
}

// run does the attack and returns what was found from outside and, second,
// what the program itself has found.
func (pr proof) run(mutant mutator.Mechanism) (outside, inside []string) {
	fl := startFleet(pr.size, mutant)
	defer fl.stop()
	outside = pr.attack(fl)
	fl.stop()
	return outside, fl.violations()
}

var _ = ginkgo.Describe("invariant", func() {
	for _, pr := range proofs {
		ginkgo.It(string(pr.invariant)+" is violated without "+string(pr.mechanism), func() {
			outside, inside := pr.run(pr.mechanism)
			ginkgo.GinkgoWriter.Println(pr.invariant, "from outside:", len(outside), "by the program itself:", len(inside))
			gomega.Expect(outside).NotTo(gomega.BeEmpty(), "the attack finds nothing")
			gomega.Expect(inside).To(gomega.ContainElement(gomega.ContainSubstring(string(pr.invariant))), "the program notices nothing")
		})
		ginkgo.It(string(pr.invariant)+" holds", func() {
			outside, inside := pr.run("")
			gomega.Expect(outside).To(gomega.BeEmpty())
			gomega.Expect(inside).To(gomega.BeEmpty())
		})
	}
})

// heldAfter waits until the engines hold nothing and returns what they still
// hold after the limit.
func (fl *fleet) heldAfter(limit time.Duration) []string {
	out := []string{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		out = out[:0]
		for _, ho := range fl.held() {
			if !strings.HasPrefix(string(ho.ID), "warm-") {
				out = append(out, fmt.Sprintf("%s %s holds %d tokens", ho.Kind, ho.ID, ho.Tokens))
			}
		}
		if len(out) == 0 {
			return nil
		}
	}
	return out
}

// usedAfter returns the answers that came from endpoints with a prefix to
// requests sent after a time.
func (fl *fleet) usedAfter(results []generator.Result, prefix string, after time.Duration) []string {
	out := describe(results)
	for _, rs := range results {
		if rs.ScheduledAtMs > after.Milliseconds() && strings.HasPrefix(rs.Endpoint, prefix) {
			out = append(out, fmt.Sprintf("request %d at %d ms went to %s", rs.Number, rs.ScheduledAtMs, rs.Endpoint))
		}
	}
	return out
}

// anyFailed returns the requests that got no whole answer.
func (fl *fleet) anyFailed(results []generator.Result) []string {
	out := []string{}
	for _, rs := range results {
		if rs.Outcome != generator.OK {
			out = append(out, fmt.Sprintf("request %d: %s %s", rs.Number, rs.Outcome, rs.Message))
		}
	}
	return out
}

// cut cuts the way from one process to another.
func (fl *fleet) cut(from, to string) { fl.relays.Cut(relayer.Link{From: from, To: to}) }

// turnCold restarts an engine without warning.
func (fl *fleet) turnCold(name string) {
	for _, ep := range fl.file.VMs.Endpoints {
		if string(ep.ID) == name {
			// An engine that is gone already can't be turned cold.
			if rs, err := fl.client.Post("http://"+ep.Address+"/chaos/cold", "", nil); err == nil {
				_ = rs.Body.Close()
			}
		}
	}
}
