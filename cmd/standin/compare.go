package main

import (
	"os"
	"time"

	"github.com/mulberrylever/mulberrylever/internal/standin/comparer"
)

type compareCommand struct {
	Dir    string        `long:"dir" required:"true" description:"folder with LOAD-POLICY.jsonl results"`
	OutAt  time.Duration `long:"out-at" default:"15s" description:"when the failure domain went out in away.jsonl"`
	BackAt time.Duration `long:"back-at" default:"30s" description:"when it came back"`
}

// Execute checks the results of the routing policies against their targets.
func (co *compareCommand) Execute([]string) error {
	return (&comparer.Comparer{Dir: co.Dir, DomainOutAt: co.OutAt, DomainBackAt: co.BackAt}).Run(os.Stdout)
}
