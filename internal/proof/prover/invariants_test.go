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

// invariantCase is the test of one invariant. The scenario injects a failure and
// returns the violations that callers and engines observe. There must be some
// when the mechanism is disabled, and none otherwise.
type invariantCase struct {
	invariant auditor.Invariant
	mechanism mutator.Mechanism
	spec      fleetSpec
	scenario  func(fl *fleet) []string
}

// shortPrompt is a small prompt that any engine can serve quickly.
var shortPrompt = generator.Prompt{Name: "short", Weight: 1, MinTokens: 500, MaxTokens: 2000, AnswerTokens: 24, TimeoutMs: 8000}

// describeUnexpected returns a line for each unexpected result.
func describeUnexpected(results []generator.Result) []string {
	out := []string{}
	for _, rs := range unexpectedResults(results) {
		out = append(out, fmt.Sprintf("%s %s %d: %s", rs.Outcome, rs.Kind, rs.Number, rs.Message))
	}
	return out
}

// runLoadDuring runs the load for duration and meanwhile, after delay, the
// action. It returns the results of the load.
func (fl *fleet) runLoadDuring(duration, delay time.Duration, action func()) []generator.Result {
	results := make(chan []generator.Result, 1)
	go func() {
		defer ginkgo.GinkgoRecover()
		results <- fl.runLoad(duration)
	}()
	time.Sleep(delay)
	action()
	return <-results
}

var invariantCases = []invariantCase{
	{auditor.FinishInTime, mutator.Deadlines, fleetSpec{domains: 1, entries: 2, engines: 1}, func(fl *fleet) []string {
		fl.plan.Prompts = []generator.Prompt{shortPrompt}
		fl.plan.Prompts[0].TimeoutMs = 3000
		return describeUnexpected(fl.runLoadDuring(2*time.Second, time.Second, func() { fl.signal("d1-engine1", syscall.SIGSTOP) }))
	}},
	{auditor.MemoryReturned, mutator.Orphans, fleetSpec{domains: 1, entries: 2, engines: 3}, func(fl *fleet) []string {
		fl.plan.ArrivalRate = 1
		fl.plan.Prompts = []generator.Prompt{{Name: "huge", Weight: 1, MinTokens: 700_000, MaxTokens: 700_000, AnswerTokens: 400, TimeoutMs: 3000}}
		fl.plan.Targets = fl.plan.Targets[:1]
		fl.runLoadDuring(1500*time.Millisecond, 2*time.Second, func() { fl.kill("d1-entry1") })
		return fl.remainingHolds(14 * time.Second)
	}},
	{auditor.ColdCapacity, mutator.ColdLimit, fleetSpec{domains: 1, entries: 4, engines: 2}, func(fl *fleet) []string {
		fl.plan.ArrivalRate = 150
		fl.plan.Prompts = []generator.Prompt{shortPrompt}
		fl.runLoadDuring(3*time.Second, time.Second, func() { fl.turnCold("d1-engine1"); fl.turnCold("d1-engine2") })
		if n := fl.coldOverloads(); n > 0 {
			return []string{fmt.Sprintf("cold engines were overloaded %d times", n)}
		}
		return nil
	}},
	{auditor.DomainOut, mutator.DomainsOut, fleetSpec{domains: 2, entries: 1, engines: 2}, func(fl *fleet) []string {
		fl.plan.Prompts = []generator.Prompt{shortPrompt}
		return fl.describeUsedAfter(fl.runLoadDuring(6*time.Second, time.Second, func() {
			out, code := fl.runOperatorCommand("domain", "out", "d2", "--reason", "test", "--by", "test")
			gomega.Expect(code).To(gomega.Equal(0), out)
		}), "d2-", 4*time.Second)
	}},
	{auditor.WholeAnswer, mutator.Positions, fleetSpec{domains: 1, entries: 1, engines: 3}, func(fl *fleet) []string {
		fl.plan.ArrivalRate = 30
		fl.plan.Prompts = []generator.Prompt{shortPrompt}
		fl.plan.Prompts[0].AnswerTokens = 150
		results := fl.runLoadDuring(3*time.Second, 2*time.Second, func() { fl.kill("d1-engine1") })
		return append(describeUnexpected(results), fl.describeFailed(results)...)
	}},
	{auditor.NotRunTrue, mutator.NotRun, fleetSpec{domains: 1, entries: 1, services: 1, responseLossRate: 0.5}, func(fl *fleet) []string {
		fl.plan.Services = []generator.Call{{Name: "bookings", Path: "/bookings", NonIdempotent: true, Weight: 1, TimeoutMs: 5000}}
		return describeUnexpected(fl.runLoad(2 * time.Second))
	}},
	{auditor.AtMostOnce, mutator.Claims, fleetSpec{domains: 2, entries: 2, services: 1, serviceLatency: 400 * time.Millisecond}, func(fl *fleet) []string {
		fl.plan.Services = []generator.Call{{Name: "bookings", Path: "/bookings", NonIdempotent: true, Weight: 1, TimeoutMs: 8000}}
		return describeUnexpected(fl.runLoadDuring(3*time.Second, 1500*time.Millisecond, func() { fl.kill("d1-entry1") }))
	}},
	{auditor.LeavingEndpoint, mutator.Leaving, fleetSpec{domains: 1, entries: 2, engines: 2}, func(fl *fleet) []string {
		fl.plan.Prompts = []generator.Prompt{shortPrompt}
		return fl.describeUsedAfter(fl.runLoadDuring(6*time.Second, time.Second, func() {
			fl.setFaults(recorder.Faults{Leaving: []string{"d1-engine2"}})
		}), "d1-engine2", 4*time.Second)
	}},
	{auditor.GracefulStop, mutator.Drain, fleetSpec{domains: 1, entries: 2, engines: 2}, func(fl *fleet) []string {
		fl.plan.Prompts = []generator.Prompt{shortPrompt}
		fl.plan.Prompts[0].AnswerTokens = 100
		out := []string{}
		for _, rs := range fl.runLoadDuring(4*time.Second, time.Second, func() {
			fl.signal("d1-entry1", syscall.SIGTERM)
			gomega.Expect(fl.waitExit("d1-entry1")).To(gomega.Equal(0))
		}) {
			if rs.Reconnects > 0 || rs.Outcome != generator.OK {
				out = append(out, fmt.Sprintf("request %d was interrupted: %s %s", rs.Number, rs.Outcome, rs.Message))
			}
		}
		return out
	}},
	{auditor.ConfigNeverReverts, mutator.Versions, fleetSpec{domains: 1, entries: 2, relayed: true}, func(fl *fleet) []string {
		// The response to a pending read must not wait in the socket of the
		// frozen process, or the process would resume with the new state.
		fl.cutLink("platform", "d1-entry1")
		fl.signal("d1-entry1", syscall.SIGSTOP)
		out, code := fl.runOperatorCommand("vm", "out", "d1-entry2", "--reason", "test", "--by", "test", "--wait", "2s")
		gomega.Expect(code).To(gomega.Equal(3), out)
		accepted := fl.configVersion(fl.config.VMs.Entries[1])
		fl.setFaults(recorder.Faults{Outage: true})
		fl.signal("d1-entry1", syscall.SIGCONT)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if now := fl.configVersion(fl.config.VMs.Entries[1]); now != accepted {
				return []string{fmt.Sprintf("version %d after %d", now, accepted)}
			}
		}
		return nil
	}},
}

// run runs the scenario on a new fleet. It returns the violations observed from
// outside and those that the programs logged.
func (ic invariantCase) run(mutant mutator.Mechanism) (observed, reported []string) {
	fl := startFleet(ic.spec, mutant)
	defer fl.stopAll()
	observed = ic.scenario(fl)
	fl.stopAll()
	return observed, fl.violations()
}

var _ = ginkgo.Describe("invariant", func() {
	for _, ic := range invariantCases {
		ginkgo.It(string(ic.invariant)+" is violated without "+string(ic.mechanism), func() {
			observed, reported := ic.run(ic.mechanism)
			ginkgo.GinkgoWriter.Println(ic.invariant, "observed from outside:", len(observed), "logged by the programs:", len(reported))
			gomega.Expect(observed).NotTo(gomega.BeEmpty(), "no violation was observed from outside")
			gomega.Expect(reported).To(gomega.ContainElement(gomega.ContainSubstring(string(ic.invariant))), "the programs logged no violation")
		})
		ginkgo.It(string(ic.invariant)+" holds", func() {
			observed, reported := ic.run("")
			gomega.Expect(observed).To(gomega.BeEmpty())
			gomega.Expect(reported).To(gomega.BeEmpty())
		})
	}
})

// remainingHolds waits until the engines have no holds other than warm-up holds.
// It returns those that are left after the limit.
func (fl *fleet) remainingHolds(limit time.Duration) []string {
	out := []string{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		out = out[:0]
		for _, ho := range fl.holds() {
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

// describeUsedAfter returns a line for each unexpected result, and for each
// request scheduled later than after that went to an endpoint with the prefix.
func (fl *fleet) describeUsedAfter(results []generator.Result, prefix string, after time.Duration) []string {
	out := describeUnexpected(results)
	for _, rs := range results {
		if rs.ScheduledAtMs > after.Milliseconds() && strings.HasPrefix(rs.Endpoint, prefix) {
			out = append(out, fmt.Sprintf("request %d at %d ms went to %s", rs.Number, rs.ScheduledAtMs, rs.Endpoint))
		}
	}
	return out
}

// describeFailed returns a line for each request without a complete answer.
func (fl *fleet) describeFailed(results []generator.Result) []string {
	out := []string{}
	for _, rs := range results {
		if rs.Outcome != generator.OK {
			out = append(out, fmt.Sprintf("request %d: %s %s", rs.Number, rs.Outcome, rs.Message))
		}
	}
	return out
}

// cutLink blocks the traffic from one process to another.
func (fl *fleet) cutLink(from, to string) { fl.network.Cut(relayer.Link{From: from, To: to}) }

// turnCold makes an engine cold, as after an unannounced restart.
func (fl *fleet) turnCold(name string) {
	for _, ep := range fl.config.VMs.Endpoints {
		if string(ep.ID) == name {
			// An engine that is not running can't be turned cold, so errors are ignored.
			if rs, err := fl.client.Post("http://"+ep.Address+"/chaos/cold", "", nil); err == nil {
				_ = rs.Body.Close()
			}
		}
	}
}
