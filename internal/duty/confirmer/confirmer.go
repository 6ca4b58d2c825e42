// Package confirmer finds out whether the configuration in force is the newest that the
// platform's store has acknowledged. An entry VM that was frozen, cut off or misled by a
// lost answer doesn't notice that by itself, so it must not tell a caller that something
// doesn't exist before it has asked.
package confirmer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

const (
	// readTimeout bounds the time that a request waits for a confirmation.
	readTimeout = 400 * time.Millisecond
	// failurePause is the time after a failed read in which no other is sent.
	failurePause = 200 * time.Millisecond
)

// Confirmer confirms the configuration in force. Its exported fields must be set. It is
// safe for concurrent use.
type Confirmer struct {
	// ConfirmedAt returns a time up to which no configuration was acknowledged that is
	// not in force, and zero before there is one.
	ConfirmedAt func() time.Time
	// Read reads what the store has acknowledged, applies it and so raises ConfirmedAt
	// to the time of the call.
	Read func(ctx context.Context) error
	// MaxAge is the age from which on a confirmation has to be renewed.
	MaxAge time.Duration

	reads    singleflight.Group
	mu       sync.Mutex
	failedAt time.Time // when the newest read that failed ended
}

// Confirm reports whether all configurations are in force that were acknowledged MaxAge
// before now. It asks the store if that isn't known. Concurrent calls share one read.
func (co *Confirmer) Confirm(ctx context.Context, now time.Time) bool {
	return co.ConfirmSince(ctx, now.Add(-co.MaxAge))
}

// ConfirmSince reports whether all configurations are in force that were acknowledged
// before a time that has passed.
func (co *Confirmer) ConfirmSince(ctx context.Context, at time.Time) bool {
	const maxReads = 2 // the first may have been sent by another call, before the time
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for range maxReads {
		if co.isConfirmed(at) {
			return true
		}
		if co.hasJustFailed(time.Now()) {
			return false
		}
		select {
		case <-co.reads.DoChan("", func() (any, error) { return nil, co.read() }):
		case <-ctx.Done():
			return co.isConfirmed(at)
		}
	}
	return co.isConfirmed(at)
}

// isConfirmed compares by the steady clock, which doesn't count the time for which the VM
// was suspended, and by the time of day, which may have been set back.
func (co *Confirmer) isConfirmed(at time.Time) bool {
	confirmedAt := co.ConfirmedAt()
	return !confirmedAt.Before(at) && !withoutSteady(confirmedAt).Before(withoutSteady(at))
}

// withoutSteady returns a time without the reading of the steady clock.
func withoutSteady(at time.Time) time.Time { return at.Round(0) }

func (co *Confirmer) hasJustFailed(now time.Time) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return now.Sub(co.failedAt) < failurePause
}

// read reads once. It doesn't end with the request that asked for it, since others may
// wait for it.
func (co *Confirmer) read() error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	err := co.Read(ctx)
	if err != nil {
		co.mu.Lock()
		co.failedAt = time.Now()
		co.mu.Unlock()
	}
	return err
}
