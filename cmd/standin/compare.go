package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

type compareCommand struct {
	Dir string `long:"dir" required:"true" description:"folder with LOAD-POLICY.jsonl results"`
}

// kinds are the lengths of prompts that are compared.
var kinds = []string{"short", "medium", "long", "huge"}

// baselines are the policies that the predicted one is compared with.
var baselines = []string{"leastInFlight", "roundRobin", "random"}

// Execute judges the targets of the routing policies.
func (co *compareCommand) Execute([]string) error {
	for _, load := range []string{"50", "80", "110"} {
		ours, err := co.rows(load + "-predicted")
		if err != nil {
			return err
		}
		best := make(map[string]float64)
		completion := 0.0
		for _, name := range baselines {
			theirs, err := co.rows(load + "-" + name)
			if err != nil {
				return err
			}
			for _, kind := range kinds {
				if p95 := percentile(theirs[kind], 95); p95 > 0 && (best[kind] == 0 || p95 < best[kind]) {
					best[kind] = p95
				}
			}
			completion = max(completion, share(theirs["long"]))
		}
		for _, kind := range kinds {
			p95 := percentile(ours[kind], 95)
			judge(fmt.Sprintf("load %s, %s: TTFT p95 %.0f ms, best baseline %.0f ms", load, kind, p95, best[kind]), p95 <= best[kind])
		}
		judge(fmt.Sprintf("load %s, long: completed %.2f of the best baseline's", load, share(ours["long"])/max(completion, 1e-9)),
			share(ours["long"]) >= 0.95*completion)
		if load == "80" {
			judge(fmt.Sprintf("load 80, short: %.2f times better than the best baseline, target 2", best["short"]/percentile(ours["short"], 95)),
				best["short"] >= 2*percentile(ours["short"], 95))
		}
	}
	return co.isolation()
}

// isolation compares short prompts with long ones beside them and without.
func (co *compareCommand) isolation() error {
	with, err := co.rows("80-predicted")
	if err != nil {
		return err
	}
	without, err := co.rows("80-shorter")
	if err != nil {
		return err
	}
	ratio := percentile(with["short"], 99) / percentile(without["short"], 99)
	judge(fmt.Sprintf("load 80, short: TTFT p99 %.2f times that without long prompts, target 1.10", ratio), ratio <= 1.10)
	return nil
}

func (co *compareCommand) rows(name string) (map[string]*generator.Row, error) {
	file, err := os.Open(filepath.Join(co.Dir, name+".jsonl"))
	if err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	defer file.Close()
	results := []generator.Result{}
	sc := bufio.NewScanner(file)
	for sc.Scan() {
		rs := generator.Result{}
		if err := json.Unmarshal(sc.Bytes(), &rs); err != nil {
			return nil, fmt.Errorf("read results %s: %w", name, err)
		}
		results = append(results, rs)
	}
	out := make(map[string]*generator.Row)
	for _, ro := range generator.Summarize(results) {
		out[ro.Kind] = ro
	}
	return out, sc.Err()
}

func percentile(ro *generator.Row, p float64) float64 {
	if ro == nil || ro.Outcomes[generator.OK] == 0 {
		return 0
	}
	return ro.Percentile(p)
}

// share returns how many of the requests got their answer.
func share(ro *generator.Row) float64 {
	if ro == nil || ro.Sent == 0 {
		return 0
	}
	return float64(ro.Outcomes[generator.OK]) / float64(ro.Sent)
}

func judge(what string, met bool) {
	verdict := "met   "
	if !met {
		verdict = "MISSED"
	}
	fmt.Println(verdict, what)
}
