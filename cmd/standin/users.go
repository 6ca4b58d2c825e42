package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/mulberrylever/mulberrylever/platform/platformtest"
)

type usersPlatformCommand struct {
	Dir     string        `long:"dir" required:"true" description:"folder for the settings files of the entry VMs"`
	Entries int           `long:"entries" default:"6" description:"entry VMs that will run"`
	Engines int           `long:"engines" default:"8" description:"model engines"`
	Ports   int           `long:"ports" default:"21000" description:"first of some free ports"`
	Length  time.Duration `long:"length" default:"10s" description:"how long requests are sent"`
	Rate    int           `long:"rate" default:"5" description:"requests of each kind a second"`
}

// Execute runs stand-ins of the users' platform, waits for the entry VMs, sends
// five kinds of request and prints their results.
func (up *usersPlatformCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	fl := &platformtest.Fleet{SettingsDir: up.Dir, Entries: up.Entries, Engines: up.Engines, BasePort: up.Ports}
	if err := fl.Start(ctx); err != nil {
		return err
	}
	const readyTimeout = 20 * time.Second
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fl.WaitReady(readyCtx); err != nil {
		return err
	}
	counts := fl.SendLoad(ctx, up.Length, up.Rate)
	if err := platformtest.WriteLoadResults(os.Stdout, counts); err != nil {
		return err
	}
	sent, served := 0, 0
	for _, co := range counts {
		sent += co.Sent
		served += co.Served
	}
	fmt.Printf("%d requests, %d served, %d runs at endpoints\n", sent, served, fl.CountRuns())
	if served < sent {
		return errLost
	}
	return nil
}
