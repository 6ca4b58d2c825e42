package comparer

import (
	"fmt"
	"io"

	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

// The runs beside the policies at their loads.
const (
	shorterRun = "80-shorter" // load 80 without long and huge prompts
	floorRun   = "floor"      // short prompts alone, a few a second
	awayRun    = "away"       // load 50 while a failure domain goes out and comes back
	floodRun   = "flood"      // load 200, most of it from a few large teams
)

// The targets.
const (
	shortGain    = 2.0  // short prompts at load 80, times better than a baseline
	longShare    = 0.95 // long prompts completed, of the best baseline's
	isolation    = 1.10 // short p99 with long prompts, of that without
	awaySlowdown = 1.25 // short p95 while a domain is out and returns, of that before
	floodShare   = 0.99 // of small teams\' short prompts, answered while large teams flood
	floodWorstMs = 1400 // their TTFT p95
	isolationP   = 99
	comparedP    = 95
	settleMs     = 2000 // left out at the start of a run
	judgedLoad   = "80"
	shortKind    = "short"
	longKind     = "long"
)

// judge writes a line for each target.
func (co *Comparer) judge(w io.Writer) {
	for _, load := range loads {
		co.judgeLoad(w, load)
	}
	name := judgedLoad + "-" + ours
	short := co.p95(name, shortKind)
	co.judgeGain(w, short, "with the same queues", baselines)
	co.judgeGain(w, short, "that is plain", plain)
	if floor := co.p95(floorRun, shortKind); floor > 0 {
		fmt.Fprintf(w, "       short alone, a few a second: TTFT p95 %.0f ms; no policy can be faster\n", floor)
	}
	if without := percentile(co.runs[shorterRun], shortKind, isolationP); without > 0 {
		ratio := percentile(co.runs[name], shortKind, isolationP) / without
		verdict(w, ratio <= isolation, "load %s, short: TTFT p99 %.2f times that without long prompts, target %.2f", judgedLoad, ratio, isolation)
	}
	co.judgeAway(w)
	co.judgeFlood(w)
	all, lost := co.count()
	fmt.Fprintf(w, "%d requests in all, %d lost\n", all, lost)
}

func (co *Comparer) judgeGain(w io.Writer, short float64, what string, others []string) {
	gain := co.best(judgedLoad, others, shortKind) / max(short, 1e-9)
	verdict(w, gain >= shortGain, "load %s, short: %.2f times better than the best baseline %s, target %.0f", judgedLoad, gain, what, shortGain)
}

// judgeLoad compares one load with the best baseline that has the same queues.
func (co *Comparer) judgeLoad(w io.Writer, load string) {
	name := load + "-" + ours
	for _, kind := range kinds {
		p95, best := co.p95(name, kind), co.best(load, baselines, kind)
		if p95 == 0 || best == 0 {
			fmt.Fprintf(w, "none   load %s, %s: no such request in these runs\n", load, kind)
			continue
		}
		verdict(w, p95 <= best, "load %s, %s: TTFT p95 %.0f ms, best baseline %.0f ms", load, kind, p95, best)
	}
	_, share := completed(co.runs[name], longKind)
	most := 0.0
	for _, policy := range append(append([]string{}, baselines...), plain...) {
		_, theirs := completed(co.runs[load+"-"+policy], longKind)
		most = max(most, theirs)
	}
	verdict(w, share >= longShare*most, "load %s, long: completed %.2f, best baseline %.2f", load, share, most)
}

// best returns the lowest 95th percentile among some policies.
func (co *Comparer) best(load string, among []string, kind string) float64 {
	out := 0.0
	for _, policy := range among {
		if p95 := co.p95(load+"-"+policy, kind); p95 > 0 && (out == 0 || p95 < out) {
			out = p95
		}
	}
	return out
}

// judgeAway compares short prompts while a failure domain is out and returns
// with those before.
func (co *Comparer) judgeAway(w io.Writer) {
	results := co.runs[awayRun]
	if len(results) == 0 {
		return
	}
	before, out, back := []generator.Result{}, []generator.Result{}, []generator.Result{}
	for _, rs := range results {
		switch {
		case rs.ScheduledAtMs < settleMs:
		case rs.ScheduledAtMs < co.DomainOutAt.Milliseconds():
			before = append(before, rs)
		case rs.ScheduledAtMs < co.DomainBackAt.Milliseconds():
			out = append(out, rs)
		default:
			back = append(back, rs)
		}
	}
	first := percentile(before, shortKind, comparedP)
	judgePhase(w, "is out", percentile(out, shortKind, comparedP), first)
	judgePhase(w, "returns", percentile(back, shortKind, comparedP), first)
	lost := lostOf(results)
	verdict(w, lost == 0, "load 50, a domain goes out and returns: %d of %d requests lost", lost, len(results))
}

func judgePhase(w io.Writer, what string, p95, before float64) {
	ratio := p95 / max(before, 1e-9)
	verdict(w, ratio <= awaySlowdown, "load 50, a domain %s, short: TTFT p95 %.0f ms, %.2f times that before, target %.2f", what, p95, ratio, awaySlowdown)
}

// judgeFlood tells how short prompts of the small teams fare while a few large
// teams ask for more than there is.
func (co *Comparer) judgeFlood(w io.Writer) {
	small, large := co.byTeamSize(floodRun)
	if len(small) == 0 {
		return
	}
	writeTeams(w, "small teams", small)
	writeTeams(w, "large teams", large)
	_, share := completed(small, shortKind)
	p95 := percentile(small, shortKind, comparedP)
	verdict(w, share >= floodShare && p95 <= floodWorstMs,
		"load 200, small teams, short: %.3f answered, TTFT p95 %.0f ms, target %.2f and %d ms", share, p95, floodShare, floodWorstMs)
}

// byTeamSize divides the results of a run by the size of their teams.
func (co *Comparer) byTeamSize(run string) (small, large []generator.Result) {
	sent, most := make(map[string]int), 0
	for _, rs := range co.runs[run] {
		sent[rs.Team]++
		most = max(most, sent[rs.Team])
	}
	const part = 2 // a small team sends less than half of what the largest does
	for _, rs := range co.runs[run] {
		if sent[rs.Team]*part < most {
			small = append(small, rs)
		} else {
			large = append(large, rs)
		}
	}
	return small, large
}

func writeTeams(w io.Writer, who string, results []generator.Result) {
	for _, kind := range kinds {
		sent, share := completed(results, kind)
		if sent > 0 {
			fmt.Fprintf(w, "       load 200, %s, %s: %d sent, %.3f answered, TTFT p95 %.0f ms\n", who, kind, sent, share, percentile(results, kind, comparedP))
		}
	}
}

// count returns how many requests there were and how many were lost.
func (co *Comparer) count() (all, lost int) {
	for _, results := range co.runs {
		all += len(results)
		lost += lostOf(results)
	}
	return all, lost
}

func lostOf(results []generator.Result) int {
	lost := 0
	for _, ro := range generator.Summarize(results) {
		lost += ro.Lost()
	}
	return lost
}

func verdict(w io.Writer, met bool, format string, args ...any) {
	word := "MISSED"
	if met {
		word = "met   "
	}
	fmt.Fprintf(w, word+" "+format+"\n", args...)
}
