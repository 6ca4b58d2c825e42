// Package inquirer asks other entry VMs how new the records of the platform's store are that they
// know. Their word counts only from their own read of the store on, by the clock of the one
// that asks, so that neither a delayed message nor a frozen sender makes old records look new.
package inquirer

import (
	"context"
	"log/slog"
	"time"
)

// questionTimeout bounds one question.
const questionTimeout = 120 * time.Millisecond

// Inquirer asks one other entry VM at an interval. Its exported fields must be set before Run.
type Inquirer struct {
	// Interval is the time between two questions. At 0 nothing is asked.
	Interval time.Duration
	// HasNothingToAsk reports whether no question is needed now.
	HasNothingToAsk func(now time.Time) bool
	// Informant returns the address of the entry VM to ask. The second result is false if
	// there is none.
	Informant func(now time.Time) (string, bool)
	// Ask asks the entry VM at an address and applies what it confirms. It returns an error
	// if that is nothing new.
	Ask func(ctx context.Context, address string) error
	// Failed is called when a question has failed, so that another entry VM is asked next.
	Failed func(now time.Time)
	Log    *slog.Logger

	wake    chan struct{}
	failing bool // the last question has failed; used by Run only
}

// New returns an inquirer. Wake may be called before Run.
func New() *Inquirer { return &Inquirer{wake: make(chan struct{}, 1)} }

// Wake makes Run ask at once.
func (iq *Inquirer) Wake() {
	select {
	case iq.wake <- struct{}{}:
	default:
	}
}

// Run asks until ctx ends.
func (iq *Inquirer) Run(ctx context.Context) error {
	if iq.Interval <= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	for ctx.Err() == nil {
		pause := iq.Interval
		if !iq.HasNothingToAsk(time.Now()) && !iq.ask(ctx) {
			pause /= 2 // another one is asked next
		}
		iq.wait(ctx, pause)
	}
	return ctx.Err()
}

// wait waits for a time, or until Wake is called.
func (iq *Inquirer) wait(ctx context.Context, pause time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-iq.wake:
	}
}

// ask asks once and reports whether that was of use. It logs when questions begin to fail and
// when they succeed again.
func (iq *Inquirer) ask(ctx context.Context) bool {
	address, found := iq.Informant(time.Now())
	if !found {
		return false
	}
	askCtx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	err := iq.Ask(askCtx, address)
	if failing := err != nil; failing != iq.failing {
		iq.failing = failing
		iq.Log.Info("informant", "address", address, "confirms", !failing, "error", err)
	}
	if err != nil && ctx.Err() == nil {
		iq.Failed(time.Now())
	}
	return err == nil
}
