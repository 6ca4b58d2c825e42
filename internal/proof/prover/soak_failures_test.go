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

// failure is one kind of failure: do starts it and returns how to end it.
type failure struct {
	name string
	pick func(so *soak) string // what it touches
	do   func(so *soak, at string) (undo func())
}

func anyOf(kind string) func(so *soak) string {
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

func fixed(name string) func(*soak) string { return func(*soak) string { return name } }

// gone tells whether a process has ended by itself, which none may do.
func (so *soak) gone(at string) bool {
	pr := so.fl.processes[at]
	select {
	case <-pr.done:
		const tail = 1000 // bytes of its log
		text := pr.log.String()
		so.surprises = append(so.surprises, fmt.Sprintf("%s has ended by itself: %v: %s", at, pr.cmd.ProcessState, text[max(len(text)-tail, 0):]))
		return true
	default:
		return false
	}
}

func killed(so *soak, at string) func() {
	so.locked(func() {
		if !so.gone(at) {
			so.fl.signal(at, syscall.SIGKILL)
		}
		so.fl.wait(at)
	})
	return func() { so.locked(func() { so.fl.start(at) }) }
}

func frozen(so *soak, at string) func() {
	so.locked(func() {
		if !so.gone(at) {
			so.fl.signal(at, syscall.SIGSTOP)
		}
	})
	return func() {
		so.locked(func() {
			if !so.gone(at) {
				so.fl.signal(at, syscall.SIGCONT)
			}
		})
	}
}

func stopped(so *soak, at string) func() {
	wanted := 0 // exit status
	so.locked(func() {
		if so.gone(at) {
			wanted = so.fl.processes[at].cmd.ProcessState.ExitCode()
			return
		}
		so.fl.signal(at, syscall.SIGTERM)
	})
	return func() {
		pr := so.fl.processes[at]
		<-pr.done
		so.locked(func() {
			gomega.Expect(so.fl.wait(at)).To(gomega.Equal(wanted))
			so.fl.start(at)
		})
	}
}

// cut cuts the links between a domain and the others, out of it or both ways.
func cut(both bool) func(so *soak, at string) func() {
	return func(so *soak, at string) func() {
		links := []relayer.Link{}
		for _, en := range so.fl.file.VMs.Entries {
			for _, name := range so.names() {
				inside, other := strings.HasPrefix(string(en.ID), at), strings.HasPrefix(name, at)
				if name == "platform" || inside == other {
					continue
				}
				if inside || both {
					links = append(links, relayer.Link{From: string(en.ID), To: name})
				}
				if !inside || both {
					links = append(links, relayer.Link{From: name, To: string(en.ID)})
				}
			}
		}
		for _, li := range links {
			so.fl.relays.Cut(li)
		}
		return func() {
			for _, li := range links {
				so.fl.relays.Restore(li)
			}
		}
	}
}

func cutPlatform(so *soak, at string) func() {
	for _, en := range so.fl.file.VMs.Entries {
		if strings.HasPrefix(string(en.ID), at) {
			so.fl.relays.Cut(relayer.Link{From: string(en.ID), To: "platform"})
		}
	}
	return func() {
		for _, en := range so.fl.file.VMs.Entries {
			so.fl.relays.Restore(relayer.Link{From: string(en.ID), To: "platform"})
		}
	}
}

func disturbed(change func(ch *recorder.Faults, at string)) func(so *soak, at string) func() {
	return func(so *soak, at string) func() {
		so.locked(func() {
			change(&so.chaosNow, at)
			so.fl.chaos(so.chaosNow)
		})
		return func() {
			so.locked(func() {
				so.chaosNow = recorder.Faults{}
				so.fl.chaos(so.chaosNow)
			})
		}
	}
}

func domainOut(so *soak, at string) func() {
	out, code := so.fl.operate("domain", "out", at, "--reason", "soak", "--by", "soak")
	so.note("domain out %s: %d %s", at, code, out)
	return func() {
		for {
			out, code := so.fl.operate("domain", "in", at, "--by", "soak")
			if code == 0 || code == 3 || strings.Contains(out, "is not out of service") {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// race lets two operators change the configuration at once.
func race(so *soak, _ string) func() {
	wg := sync.WaitGroup{}
	for i := range 2 {
		wg.Go(func() {
			out, code := so.fl.operate("exception", "add", "--scope", "team", "--name", "a", "--field", "weight",
				"--value", strconv.Itoa(i+1), "--reason", "soak", "--by", fmt.Sprintf("operator%d", i))
			so.note("race %d: %d %s", i, code, out)
		})
	}
	wg.Wait()
	return func() {}
}

var failures = []failure{
	{"kill entry VM", anyOf("entry"), killed},
	{"freeze entry VM", anyOf("entry"), frozen},
	{"stop entry VM gracefully", anyOf("entry"), stopped},
	{"kill engine", anyOf("engine"), killed},
	{"freeze engine", anyOf("engine"), frozen},
	{"turn engine cold", anyOf("engine"), func(so *soak, at string) func() { so.fl.turnCold(at); return func() {} }},
	{"kill service", anyOf("service"), killed},
	{"cut domain off", anyDomain, cut(true)},
	{"cut domain off in one direction", anyDomain, cut(false)},
	{"cut domain off from platform", anyDomain, cutPlatform},
	{"platform outage", fixed("platform"), disturbed(func(ch *recorder.Faults, _ string) { ch.Outage = true })},
	{"slow platform", fixed("platform"), disturbed(func(ch *recorder.Faults, _ string) { ch.DelayMs = 400 })},
	{"lost answers", fixed("platform"), disturbed(func(ch *recorder.Faults, _ string) { ch.ResponseLossRate = 0.4 })},
	{"engine leaves", fixed("platform"), disturbed(func(ch *recorder.Faults, _ string) { ch.Leaving = []string{"d1-engine1"} })},
	{"domain out and back", anyDomain, domainOut},
	{"operators race", fixed("operators"), race},
}
