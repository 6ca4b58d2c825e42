package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

type callCommand struct {
	Load string `long:"load" required:"true" description:"load file, for targets, team and service"`
	Key  string `long:"key" required:"true" description:"idempotency key"`
}

// Execute makes one call with at-most-once semantics and prints its answer.
func (ca *callCommand) Execute([]string) error {
	pl, err := generator.ReadPlan(ca.Load)
	if err != nil {
		return err
	}
	const callTimeout = 20 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	text, err := pl.CallNonIdempotent(ctx, ca.Key)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, text)
	return nil
}
