// Package comparer evaluates a benchmark of the routing policies. It reads the
// results as JSON lines, writes a table and a plot, and reports which targets were
// met.
package comparer

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

// testedPolicy is the routing policy under test.
const testedPolicy = "predicted"

var (
	// loadPercents are the loads, in percent of the fleet's capacity.
	loadPercents = []string{"50", "80", "110"}
	// promptKinds are the kinds of prompt that are compared.
	promptKinds = []string{"short", "medium", "long", "huge"}
	// baselines are policies that select engines by another rule, with the same
	// queues, priorities and sets of engines.
	baselines = []string{"leastInFlight", "roundRobin", "random"}
	// plainBaselines are policies that select engines by another rule and serve
	// prompts in the order of arrival, on any engine.
	plainBaselines = []string{"plain-leastInFlight", "plain-roundRobin", "plain-random"}
)

// Comparer compares the results in a folder: LOAD-POLICY.jsonl and the additional
// runs that are named in targets.go.
type Comparer struct {
	Dir          string
	DomainOutAt  time.Duration // when the failure domain was taken out of service in away.jsonl, from its start
	DomainBackAt time.Duration // when it was put back, from the start of that run

	runs map[string][]generator.Result // by name
}

// String returns the name used in errors.
func (co *Comparer) String() string { return "comparer" }

// Run writes table.txt and plot.svg to the folder, and the table and the evaluation
// of the targets to w.
func (co *Comparer) Run(w io.Writer) error {
	if err := co.read(); err != nil {
		return err
	}
	table, err := os.Create(filepath.Join(co.Dir, "table.txt"))
	if err != nil {
		return fmt.Errorf("%s: write table: %w", co, err)
	}
	defer table.Close()
	if err := co.writeTable(io.MultiWriter(w, table)); err != nil {
		return err
	}
	if err := co.writePlot(filepath.Join(co.Dir, "plot.svg")); err != nil {
		return err
	}
	co.checkTargets(io.MultiWriter(w, table))
	return nil
}

// policies returns all policies, the one under test first.
func policies() []string {
	return append(append([]string{testedPolicy}, baselines...), plainBaselines...)
}

// read reads the results of all runs. It skips runs without a file.
func (co *Comparer) read() error {
	names := []string{withoutLongRun, shortOnlyRun, domainOutRun, overloadRun}
	for _, load := range loadPercents {
		for _, policy := range policies() {
			names = append(names, load+"-"+policy)
		}
	}
	co.runs = make(map[string][]generator.Result)
	for _, name := range names {
		results, err := readLines(filepath.Join(co.Dir, name+".jsonl"))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return fmt.Errorf("%s: read %s: %w", co, name, err)
		}
		co.runs[name] = results
	}
	return nil
}

// readLines reads results as JSON lines.
func readLines(path string) ([]generator.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	out := []generator.Result{}
	sc := bufio.NewScanner(file)
	for sc.Scan() {
		rs := generator.Result{}
		if err := json.Unmarshal(sc.Bytes(), &rs); err != nil {
			return nil, err
		}
		out = append(out, rs)
	}
	return out, sc.Err()
}

// p95 returns the 95th percentile of the time to first token of a kind in a run, in
// milliseconds, or 0 if no such request succeeded.
func (co *Comparer) p95(run, kind string) float64 { return percentile(co.runs[run], kind, 95) }

// percentile returns a percentile of the time to first token of a kind, in
// milliseconds, or 0 if no such request succeeded.
func percentile(results []generator.Result, kind string, p float64) float64 {
	for _, ro := range generator.Summarize(results) {
		if ro.Kind == kind && ro.Outcomes[generator.OK] > 0 {
			return ro.Percentile(p)
		}
	}
	return 0
}

// completedShare returns the number of requests of a kind and the share of them that
// succeeded.
func completedShare(results []generator.Result, kind string) (sent int, share float64) {
	for _, ro := range generator.Summarize(results) {
		if ro.Kind == kind && ro.Sent > 0 {
			return ro.Sent, float64(ro.Outcomes[generator.OK]) / float64(ro.Sent)
		}
	}
	return 0, 0
}

// writeTable writes the 95th percentiles by load, kind and policy.
func (co *Comparer) writeTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "%s", "TTFT p95 ms\tsent\t")
	for _, policy := range policies() {
		fmt.Fprintf(tw, "%s\t", policy)
	}
	fmt.Fprintln(tw)
	for _, load := range loadPercents {
		for _, kind := range promptKinds {
			sent, _ := completedShare(co.runs[load+"-"+testedPolicy], kind)
			fmt.Fprintf(tw, "load %s %s\t%d\t", load, kind, sent)
			for _, policy := range policies() {
				fmt.Fprintf(tw, "%.0f\t", co.p95(load+"-"+policy, kind))
			}
			fmt.Fprintln(tw)
		}
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("%s: write table: %w", co, err)
	}
	return nil
}
