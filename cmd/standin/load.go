package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/standin/fleetreader"
	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

// errLost means that at least one request was not served or had an unacceptable
// outcome. The exit status is then 4.
var errLost = errors.New("requests were lost")

type loadCommand struct {
	fleetOptions
	Load   string        `long:"load" required:"true" description:"load file (JSON with comments)"`
	Length time.Duration `long:"length" default:"20s" description:"how long new requests are sent"`
	Rate   float64       `long:"rate" description:"requests a second instead of the load file's"`
	Out    string        `long:"out" description:"file for the results as JSON lines"`
}

// Execute sends the load and prints a table of its results.
func (lo *loadCommand) Execute([]string) error {
	pl, err := generator.ReadPlan(lo.Load)
	if err != nil {
		return err
	}
	fl, err := fleetreader.Read(lo.Fleet)
	if err != nil {
		return err
	}
	if lo.Rate > 0 {
		pl.ArrivalRate = lo.Rate
	}
	ge := &generator.Generator{Plan: pl, Seed: lo.Seed, Duration: lo.Length}
	for _, ep := range fl.VMs.Endpoints {
		if ep.Kind == ml.KindService {
			ge.Services = append(ge.Services, ep)
		}
	}
	if lo.Out != "" {
		file, err := os.Create(lo.Out)
		if err != nil {
			return fmt.Errorf("create results file: %w", err)
		}
		defer file.Close()
		ge.ResultWriter = file
	}
	ctx, stop := signalContext()
	defer stop()
	results, err := ge.Run(ctx)
	if err != nil {
		return err
	}
	return printSummary(results)
}

func printSummary(results []generator.Result) error {
	rows := generator.Summarize(results)
	if err := generator.WriteTable(os.Stdout, rows); err != nil {
		return err
	}
	lost := 0
	for _, ro := range rows {
		lost += ro.Lost()
	}
	fmt.Printf("%d requests, %d lost\n", len(results), lost)
	if lost > 0 {
		return errLost
	}
	return nil
}
