// Package comparer judges what a bench of the routing policies has measured:
// it reads the results as JSON lines, writes a table and a plot, and tells
// which targets were met.
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

// ours is the policy under test.
const ours = "predicted"

var (
	// loads are the shares of the capacity, in per cent.
	loads = []string{"50", "80", "110"}
	// kinds are the lengths of prompts that are compared.
	kinds = []string{"short", "medium", "long", "huge"}
	// baselines pick by another rule, with the same queues, priorities and
	// sets of engines.
	baselines = []string{"leastInFlight", "roundRobin", "random"}
	// plain baselines pick by another rule and take prompts in the order of
	// their arrival on any engine.
	plain = []string{"plain-leastInFlight", "plain-roundRobin", "plain-random"}
)

// Comparer compares the results below a folder: LOAD-POLICY.jsonl, and the
// further runs named in judge.go.
type Comparer struct {
	Dir          string
	DomainOutAt  time.Duration // when the failure domain went out in away.jsonl
	DomainBackAt time.Duration // when it came back

	runs map[string][]generator.Result
}

// String names the step in logs.
func (co *Comparer) String() string { return "comparer" }

// Run writes table.txt and plot.svg and the verdicts to w.
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
	co.judge(io.MultiWriter(w, table))
	return nil
}

// policies lists all policies, the one under test first.
func policies() []string { return append(append([]string{ours}, baselines...), plain...) }

// read reads all results. A run that was not made is left out.
func (co *Comparer) read() error {
	names := []string{shorterRun, floorRun, awayRun, floodRun}
	for _, load := range loads {
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

// p95 returns the 95th percentile of the time to the first token in a run, in
// milliseconds, or 0 when there was none.
func (co *Comparer) p95(run, kind string) float64 { return percentile(co.runs[run], kind, 95) }

func percentile(results []generator.Result, kind string, p float64) float64 {
	for _, ro := range generator.Summarize(results) {
		if ro.Kind == kind && ro.Outcomes[generator.OK] > 0 {
			return ro.Percentile(p)
		}
	}
	return 0
}

// completed returns how many requests of a kind were sent and which share of
// them got its answer.
func completed(results []generator.Result, kind string) (sent int, share float64) {
	for _, ro := range generator.Summarize(results) {
		if ro.Kind == kind && ro.Sent > 0 {
			return ro.Sent, float64(ro.Outcomes[generator.OK]) / float64(ro.Sent)
		}
	}
	return 0, 0
}

// writeTable writes the 95th percentiles of all policies.
func (co *Comparer) writeTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "%s", "TTFT p95 ms\tsent\t")
	for _, policy := range policies() {
		fmt.Fprintf(tw, "%s\t", policy)
	}
	fmt.Fprintln(tw)
	for _, load := range loads {
		for _, kind := range kinds {
			sent, _ := completed(co.runs[load+"-"+ours], kind)
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
