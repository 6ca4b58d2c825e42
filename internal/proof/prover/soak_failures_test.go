//go:build soak

package prover_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/standin/recorder"
	"github.com/mulberrylever/mulberrylever/internal/standin/relayer"
)

// failure is one kind of failure. inject starts it and returns a function that
// ends it.
type failure struct {
	name   string
	pick   func(so *soak) string // returns the process or domain to inject it at
	inject func(so *soak, target string) (undo func())
}

// anyProcess returns a pick function for running processes with kind in their
// names.
func anyProcess(kind string) func(so *soak) string {
	return func(so *soak) string {
		names := []string{}
		for name := range so.fl.processes {
			if strings.Contains(name, kind) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return names[so.rng.IntN(len(names))]
	}
}

func fixedTarget(name string) func(*soak) string { return func(*soak) string { return name } }

// checkExited reports whether a process has exited on its own, which none may do,
// and records it in unexpectedExits.
func (so *soak) checkExited(target string) bool {
	pr := so.fl.processes[target]
	select {
	case <-pr.done:
		const logTailBytes = 1000
		text := pr.log.String()
		so.unexpectedExits = append(so.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v: %s", target, pr.cmd.ProcessState, text[max(len(text)-logTailBytes, 0):]))
		return true
	default:
		return false
	}
}

func killProcess(so *soak, target string) func() {
	so.withLock(func() {
		if !so.checkExited(target) {
			so.fl.signal(target, syscall.SIGKILL)
		}
		so.fl.waitExit(target)
	})
	return func() { so.withLock(func() { so.fl.start(target) }) }
}

func freezeProcess(so *soak, target string) func() {
	so.withLock(func() {
		if !so.checkExited(target) {
			so.fl.signal(target, syscall.SIGSTOP)
		}
	})
	return func() {
		so.withLock(func() {
			if !so.checkExited(target) {
				so.fl.signal(target, syscall.SIGCONT)
			}
		})
	}
}

func stopProcess(so *soak, target string) func() {
	wantedExitCode := 0
	so.withLock(func() {
		if so.checkExited(target) {
			wantedExitCode = so.fl.processes[target].cmd.ProcessState.ExitCode()
			return
		}
		so.fl.signal(target, syscall.SIGTERM)
	})
	return func() {
		pr := so.fl.processes[target]
		<-pr.done
		so.withLock(func() {
			gomega.Expect(so.fl.waitExit(target)).To(gomega.Equal(wantedExitCode))
			so.fl.start(target)
		})
	}
}

// cutDomain cuts the links from a domain to the others, or in both directions.
// The platform stays reachable.
func cutDomain(bothDirections bool) func(so *soak, target string) func() {
	return func(so *soak, target string) func() {
		links := []relayer.Link{}
		for _, en := range so.fl.config.VMs.Entries {
			for _, name := range so.processNames() {
				inside, other := strings.HasPrefix(string(en.ID), target), strings.HasPrefix(name, target)
				if name == "platform" || inside == other {
					continue
				}
				if inside || bothDirections {
					links = append(links, relayer.Link{From: string(en.ID), To: name})
				}
				if !inside || bothDirections {
					links = append(links, relayer.Link{From: name, To: string(en.ID)})
				}
			}
		}
		for _, li := range links {
			so.fl.network.Cut(li)
		}
		return func() {
			for _, li := range links {
				so.fl.network.Restore(li)
			}
		}
	}
}

func cutDomainFromPlatform(so *soak, target string) func() {
	for _, en := range so.fl.config.VMs.Entries {
		if strings.HasPrefix(string(en.ID), target) {
			so.fl.network.Cut(relayer.Link{From: string(en.ID), To: "platform"})
		}
	}
	return func() {
		for _, en := range so.fl.config.VMs.Entries {
			so.fl.network.Restore(relayer.Link{From: string(en.ID), To: "platform"})
		}
	}
}

func platformFault(change func(fa *recorder.Faults, target string)) func(so *soak, target string) func() {
	return func(so *soak, target string) func() {
		so.withLock(func() {
			change(&so.platformFaults, target)
			so.fl.setFaults(so.platformFaults)
		})
		return func() {
			so.withLock(func() {
				so.platformFaults = recorder.Faults{}
				so.fl.setFaults(so.platformFaults)
			})
		}
	}
}

func takeDomainOut(so *soak, target string) func() {
	out, code := so.fl.runOperatorCommand("domain", "out", target, "--reason", "soak", "--by", "soak")
	so.tracef("domain out %s: exit code %d: %s", target, code, out)
	return func() {
		for {
			out, code := so.fl.runOperatorCommand("domain", "in", target, "--by", "soak")
			if code == 0 || code == 3 || strings.Contains(out, "is not out of service") {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// raceOperators changes the configuration with two concurrent commands.
func raceOperators(so *soak, _ string) func() {
	wg := sync.WaitGroup{}
	for i := range 2 {
		wg.Go(func() {
			out, code := so.fl.runOperatorCommand("exception", "add", "--scope", "team", "--name", "a", "--field", "weight",
				"--value", strconv.Itoa(i+1), "--reason", "soak", "--by", fmt.Sprintf("operator%d", i))
			so.tracef("operator %d: exit code %d: %s", i, code, out)
		})
	}
	wg.Wait()
	return func() {}
}

// failures are the kinds of failures, by the names in the report.
var failures = []failure{
	{"kill entry VM", anyProcess("entry"), killProcess},
	{"freeze entry VM", anyProcess("entry"), freezeProcess},
	{"stop entry VM gracefully", anyProcess("entry"), stopProcess},
	{"kill engine", anyProcess("engine"), killProcess},
	{"freeze engine", anyProcess("engine"), freezeProcess},
	{"turn engine cold", anyProcess("engine"), func(so *soak, target string) func() { so.fl.turnCold(target); return func() {} }},
	{"kill service", anyProcess("service"), killProcess},
	{"cut domain off", anyDomain, cutDomain(true)},
	{"cut domain off in one direction", anyDomain, cutDomain(false)},
	{"cut domain off from platform", anyDomain, cutDomainFromPlatform},
	{"platform outage", fixedTarget("platform"), platformFault(func(fa *recorder.Faults, _ string) { fa.Outage = true })},
	{"slow platform", fixedTarget("platform"), platformFault(func(fa *recorder.Faults, _ string) { fa.DelayMs = 400 })},
	{"lost answers", fixedTarget("platform"), platformFault(func(fa *recorder.Faults, _ string) { fa.ResponseLossRate = 0.4 })},
	{"engine leaves", fixedTarget("platform"), platformFault(func(fa *recorder.Faults, _ string) { fa.Leaving = []string{"d1-engine1"} })},
	{"domain out and back", anyDomain, takeDomainOut},
	{"operators race", fixedTarget("operators"), raceOperators},
}
