package comparer

import (
	"fmt"
	"io"

	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

// Names of the additional runs, without .jsonl.
const (
	withoutLongRun = "80-shorter" // the 80% load without long and huge prompts
	shortOnlyRun   = "floor"      // short prompts only, a few per second
	domainOutRun   = "away"       // 50% load while a failure domain is taken out of service and put back
	overloadRun    = "flood"      // 200% load, most of it from a few large teams
)

// Targets and parameters of their evaluation.
const (
	minShortGain        = 2.0  // p95 of the best baseline divided by the tested policy's, for short prompts
	minLongShare        = 0.95 // completed long prompts, relative to the best baseline
	maxIsolationRatio   = 1.10 // p99 of short prompts with long ones in the load, relative to without
	maxDomainOutRatio   = 1.25 // p95 of short prompts while a domain is out and after its return, relative to before
	minSmallTeamShare   = 0.99 // completed short prompts of small teams while large teams overload the fleet
	maxSmallTeamTTFTMs  = 1400 // p95 of those prompts
	isolationPercentile = 99
	comparedPercentile  = 95
	warmUpMs            = 2000 // start of a run that is excluded from the evaluation
	gainLoad            = "80" // load, in percent of the capacity, of the gain and isolation targets
	shortKind           = "short"
	longKind            = "long"
)

// checkTargets writes whether each target was met.
func (co *Comparer) checkTargets(w io.Writer) {
	for _, load := range loadPercents {
		co.checkLoad(w, load)
	}
	name := gainLoad + "-" + testedPolicy
	short := co.p95(name, shortKind)
	co.checkGain(w, short, "with the same queues", baselines)
	co.checkGain(w, short, "that is plain", plainBaselines)
	if shortOnly := co.p95(shortOnlyRun, shortKind); shortOnly > 0 {
		fmt.Fprintf(w, "       short alone, a few a second: TTFT p95 %.0f ms; no policy can be faster\n", shortOnly)
	}
	if without := percentile(co.runs[withoutLongRun], shortKind, isolationPercentile); without > 0 {
		ratio := percentile(co.runs[name], shortKind, isolationPercentile) / without
		writeTargetResult(w, ratio <= maxIsolationRatio, "load %s, short: TTFT p99 %.2f times that without long prompts, target %.2f", gainLoad, ratio, maxIsolationRatio)
	}
	co.checkDomainOut(w)
	co.checkOverload(w)
	all, lost := co.countRequests()
	fmt.Fprintf(w, "%d requests in all, %d lost\n", all, lost)
}

// checkGain compares short prompts at gainLoad with the best of some baselines.
func (co *Comparer) checkGain(w io.Writer, short float64, baselineLabel string, policyNames []string) {
	gain := co.bestP95(gainLoad, policyNames, shortKind) / max(short, 1e-9)
	writeTargetResult(w, gain >= minShortGain, "load %s, short: %.2f times better than the best baseline %s, target %.0f", gainLoad, gain, baselineLabel, minShortGain)
}

// checkLoad compares the percentiles at one load with the best baseline that has the
// same queues, and the completed long prompts with the best of all baselines.
func (co *Comparer) checkLoad(w io.Writer, load string) {
	name := load + "-" + testedPolicy
	for _, kind := range promptKinds {
		p95, best := co.p95(name, kind), co.bestP95(load, baselines, kind)
		if p95 == 0 || best == 0 {
			fmt.Fprintf(w, "none   load %s, %s: no such request in these runs\n", load, kind)
			continue
		}
		writeTargetResult(w, p95 <= best, "load %s, %s: TTFT p95 %.0f ms, best baseline %.0f ms", load, kind, p95, best)
	}
	_, share := completedShare(co.runs[name], longKind)
	bestShare := 0.0
	for _, policy := range append(append([]string{}, baselines...), plainBaselines...) {
		_, baselineShare := completedShare(co.runs[load+"-"+policy], longKind)
		bestShare = max(bestShare, baselineShare)
	}
	writeTargetResult(w, share >= minLongShare*bestShare, "load %s, long: completed %.2f, best baseline %.2f", load, share, bestShare)
}

// bestP95 returns the lowest 95th percentile among some policies, or 0 if there is
// none.
func (co *Comparer) bestP95(load string, policyNames []string, kind string) float64 {
	out := 0.0
	for _, policy := range policyNames {
		if p95 := co.p95(load+"-"+policy, kind); p95 > 0 && (out == 0 || p95 < out) {
			out = p95
		}
	}
	return out
}

// checkDomainOut compares short prompts while a failure domain is out of service and
// after its return with those before.
func (co *Comparer) checkDomainOut(w io.Writer) {
	results := co.runs[domainOutRun]
	if len(results) == 0 {
		return
	}
	beforeOutage, duringOutage, afterReturn := []generator.Result{}, []generator.Result{}, []generator.Result{}
	for _, rs := range results {
		switch {
		case rs.ScheduledAtMs < warmUpMs:
		case rs.ScheduledAtMs < co.DomainOutAt.Milliseconds():
			beforeOutage = append(beforeOutage, rs)
		case rs.ScheduledAtMs < co.DomainBackAt.Milliseconds():
			duringOutage = append(duringOutage, rs)
		default:
			afterReturn = append(afterReturn, rs)
		}
	}
	baseline := percentile(beforeOutage, shortKind, comparedPercentile)
	checkDomainPhase(w, "is out", percentile(duringOutage, shortKind, comparedPercentile), baseline)
	checkDomainPhase(w, "returns", percentile(afterReturn, shortKind, comparedPercentile), baseline)
	lost := countLost(results)
	writeTargetResult(w, lost == 0, "load 50, a domain goes out and returns: %d of %d requests lost", lost, len(results))
}

// checkDomainPhase compares short prompts in one phase of domainOutRun with those
// before the outage.
func checkDomainPhase(w io.Writer, phase string, p95, before float64) {
	ratio := p95 / max(before, 1e-9)
	writeTargetResult(w, ratio <= maxDomainOutRatio, "load 50, a domain %s, short: TTFT p95 %.0f ms, %.2f times that before, target %.2f", phase, p95, ratio, maxDomainOutRatio)
}

// checkOverload evaluates short prompts of the small teams while a few large teams
// send more than the fleet's capacity.
func (co *Comparer) checkOverload(w io.Writer) {
	small, large := co.splitByTeamSize(overloadRun)
	if len(small) == 0 {
		return
	}
	writeTeamResults(w, "small teams", small)
	writeTeamResults(w, "large teams", large)
	_, share := completedShare(small, shortKind)
	p95 := percentile(small, shortKind, comparedPercentile)
	writeTargetResult(w, share >= minSmallTeamShare && p95 <= maxSmallTeamTTFTMs,
		"load 200, small teams, short: %.3f answered, TTFT p95 %.0f ms, target %.2f and %d ms", share, p95, minSmallTeamShare, maxSmallTeamTTFTMs)
}

// splitByTeamSize separates the results of small teams from those of large ones.
func (co *Comparer) splitByTeamSize(run string) (small, large []generator.Result) {
	sent, maxSent := make(map[string]int), 0
	for _, rs := range co.runs[run] {
		sent[rs.Team]++
		maxSent = max(maxSent, sent[rs.Team])
	}
	const smallTeamDivisor = 2 // a small team sends less than half of the largest team's requests
	for _, rs := range co.runs[run] {
		if sent[rs.Team]*smallTeamDivisor < maxSent {
			small = append(small, rs)
		} else {
			large = append(large, rs)
		}
	}
	return small, large
}

// writeTeamResults writes the completed share and the p95 by kind of prompt.
func writeTeamResults(w io.Writer, group string, results []generator.Result) {
	for _, kind := range promptKinds {
		sent, share := completedShare(results, kind)
		if sent > 0 {
			fmt.Fprintf(w, "       load 200, %s, %s: %d sent, %.3f answered, TTFT p95 %.0f ms\n", group, kind, sent, share, percentile(results, kind, comparedPercentile))
		}
	}
}

// countRequests returns the number of requests and of lost ones in all runs.
func (co *Comparer) countRequests() (all, lost int) {
	for _, results := range co.runs {
		all += len(results)
		lost += countLost(results)
	}
	return all, lost
}

// countLost returns the number of requests with an unacceptable outcome.
func countLost(results []generator.Result) int {
	lost := 0
	for _, ro := range generator.Summarize(results) {
		lost += ro.Lost()
	}
	return lost
}

// writeTargetResult writes a line that says whether a target was met.
func writeTargetResult(w io.Writer, met bool, format string, args ...any) {
	word := "MISSED"
	if met {
		word = "met   "
	}
	fmt.Fprintf(w, word+" "+format+"\n", args...)
}
