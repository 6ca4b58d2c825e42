package inquirer_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/duty/inquirer"
)

const interval = 700 * time.Millisecond

var errSilent = errors.New("no reply")

// peers are the other entry VMs, of which one is asked.
type peers struct {
	mu         sync.Mutex
	asked      string
	fails      map[string]bool
	asks       map[string]int
	hasNothing bool
}

func (pe *peers) start(ctx context.Context) *inquirer.Inquirer {
	iq := inquirer.New()
	iq.Interval, iq.Log = interval, slog.New(slog.DiscardHandler)
	iq.HasNothingToAsk = func(time.Time) bool {
		defer pe.lock()()
		return pe.hasNothing
	}
	iq.Informant = func(time.Time) (string, bool) {
		defer pe.lock()()
		return pe.asked, pe.asked != ""
	}
	iq.Failed = func(time.Time) { pe.set(func() { pe.asked = "other" }) }
	iq.Ask = func(ctx context.Context, address string) error {
		if pe.replies(address) {
			return nil
		}
		<-ctx.Done()
		return errSilent
	}
	go func() { _ = iq.Run(ctx) }()
	return iq
}

func (pe *peers) lock() (unlock func()) {
	pe.mu.Lock()
	return pe.mu.Unlock
}

// set changes the peers.
func (pe *peers) set(change func()) {
	defer pe.lock()()
	change()
}

// replies counts a question to an address, and reports whether it gets a reply.
func (pe *peers) replies(address string) bool {
	defer pe.lock()()
	pe.asks[address]++
	return !pe.fails[address]
}

// count returns the number of questions to an address.
func (pe *peers) count(address string) int {
	defer pe.lock()()
	return pe.asks[address]
}

// TestInquirer checks how often others are asked, and that another one is when one is silent.
func TestInquirer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		pe := &peers{asked: "reader", fails: map[string]bool{}, asks: map[string]int{}}
		iq := pe.start(ctx)
		time.Sleep(10*interval - time.Millisecond)
		g.Expect(pe.count("reader")).To(gomega.Equal(10))
		g.Expect(pe.count("other")).To(gomega.BeZero())

		pe.set(func() { pe.fails["reader"] = true })
		time.Sleep(2 * interval)
		g.Expect(pe.count("other")).To(gomega.BeNumerically(">=", 1))
		before := pe.count("other")

		pe.set(func() { pe.hasNothing = true })
		time.Sleep(10 * interval)
		g.Expect(pe.count("other")).To(gomega.BeNumerically("<=", before+1), "own reads suffice")

		pe.set(func() { pe.hasNothing = false })
		time.Sleep(interval)
		before = pe.count("other")
		iq.Wake()
		synctest.Wait()
		g.Expect(pe.count("other")).To(gomega.Equal(before+1), "at once")
	})
}

// TestNobodyToAsk checks that an entry VM that is alone goes on.
func TestNobodyToAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		pe := &peers{asks: map[string]int{}}
		pe.start(ctx)
		time.Sleep(10 * interval)
		g.Expect(pe.count("")).To(gomega.BeZero())
		pe.set(func() { pe.asked = "newcomer" })
		time.Sleep(interval)
		g.Expect(pe.count("newcomer")).To(gomega.BeNumerically(">=", 1))
	})
}
