package main

import (
	"os"

	"github.com/mulberrylever/mulberrylever/internal/standin/measurer"
)

type slopesCommand struct{}

// Execute measures how a node's state and work grow with the fleet.
func (*slopesCommand) Execute([]string) error { return measurer.Write(os.Stdout) }
