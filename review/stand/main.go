//go:build review

// Command stand plays the cases of the review: it starts entry VMs with the command of the
// deploy file, beside stand-ins for the platform's store, the engines and the requesters, on
// loopback addresses. It exits with 0 if the rule of the case held, with 1 if it was broken,
// and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// verdict says whether the rule of a case was broken, and by what.
type verdict struct {
	isBroken bool
	text     string
}

// cases are the cases by name. A case gets a world without entry VMs, and whether the
// disruption is to happen.
var cases = map[string]func(wo *World, hasTrouble bool) (verdict, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/mulberrylever", "program of the entry VMs")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *program, *recordPath, os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, program, recordPath string, hasTrouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitNotRun
	}
	wo, err := newWorld(program, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer wo.close()
	time.AfterFunc(maxDuration, func() {
		wo.close()
		fmt.Fprintln(os.Stderr, "not run: the case took too long")
		os.Exit(exitNotRun)
	})
	wo.record("case %s, with the disruption: %t", name, hasTrouble)
	ve, err := run(wo, hasTrouble)
	switch {
	case err != nil:
		wo.record("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case ve.isBroken:
		wo.record("BROKEN: %s", ve.text)
		fmt.Println("BROKEN:", ve.text)
		return exitBroken
	}
	wo.record("held: %s", ve.text)
	fmt.Println("held:", ve.text)
	return exitHeld
}

// newWorld returns a world on free loopback addresses.
func newWorld(program, recordPath string) (*World, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	wo := &World{program: path, dir: dir, file: file, start: time.Now()}
	return wo, wo.open()
}
