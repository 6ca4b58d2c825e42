// Package publisher publishes crashes of engines, and the parts of prompts that are
// blocked because of them, in the platform's store. Entry VMs that have just started or
// can't reach the others find them there.
package publisher

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/attributor"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// delayPerPeer times the number of other entry VMs is the longest delay before a
	// record is written. All of them know of a change at about the same time, and the
	// first to write it spares the others the call.
	delayPerPeer = 30 * time.Millisecond
	// maxDelay bounds that delay.
	maxDelay = 2 * time.Second
	// maxQueuedCrashes bounds the crashes that wait to be written.
	maxQueuedCrashes = 64
	// clearedDelay is the time in which parts that are cleared gather for one record, and
	// maxQueuedCleared bounds the lists of them that wait.
	clearedDelay     = 100 * time.Millisecond
	maxQueuedCleared = 64
	// retryDelay is the time before a failed call is repeated.
	retryDelay = 300 * time.Millisecond
)

// Publisher writes the records of parts. Its exported fields must be set before Run.
type Publisher struct {
	Parts *attributor.Attributor
	Store ml.PartRecorder
	Peers func() int // number of other entry VMs heard
	Log   *slog.Logger

	changed chan struct{}
	crashes chan queuedCrash
	cleared chan []ml.PartID
}

// queuedCrash is a crash that is to be written. Its ages are relative to at.
type queuedCrash struct {
	ml.SharedCrash
	at time.Time
}

// New returns a publisher. Signal and PublishCrash may be called before Run.
func New() *Publisher {
	return &Publisher{changed: make(chan struct{}, 1), crashes: make(chan queuedCrash, maxQueuedCrashes), cleared: make(chan []ml.PartID, maxQueuedCleared)}
}

// PublishCrash queues a crash for writing. If the queue is full, it is dropped: the
// others and the entry VM itself know of enough.
func (pu *Publisher) PublishCrash(now time.Time, sc ml.SharedCrash) {
	select {
	case pu.crashes <- queuedCrash{sc, now}:
	default:
		pu.Log.Warn("record of a crash dropped, too many wait", "endpoint", sc.Endpoint)
	}
}

// PublishCleared queues parts, with which answers have begun, for writing. If the queue is
// full, they are dropped: an entry VM that starts takes them for suspect.
func (pu *Publisher) PublishCleared(parts []ml.PartID) {
	select {
	case pu.cleared <- parts:
	default:
		pu.Log.Warn("record of cleared parts dropped, too many wait", "parts", len(parts))
	}
}

// Signal makes Run write the records that have changed.
func (pu *Publisher) Signal() {
	select {
	case pu.changed <- struct{}{}:
	default:
	}
}

// Run writes records until ctx ends.
func (pu *Publisher) Run(ctx context.Context) error {
	go pu.runCrashes(ctx)
	go pu.runCleared(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pu.changed:
		}
		pacer.Sleep(ctx, rand.N(min(delayPerPeer*time.Duration(pu.Peers()), maxDelay)+1))
		if !pu.write(ctx) {
			pacer.Sleep(ctx, retryDelay)
			pu.Signal()
		}
	}
}

// runCrashes writes crashes until ctx ends. One that could not be written is dropped: it
// is of use only at once.
func (pu *Publisher) runCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case qc := <-pu.crashes:
			now := time.Now()
			waited := now.Sub(qc.at).Milliseconds()
			qc.AgeMs += waited
			qc.SentAgeMs += waited
			if err := pu.Store.RecordCrash(ctx, now, qc.SharedCrash); err != nil {
				pu.Log.Warn("crash not recorded", "endpoint", qc.Endpoint, "error", err)
			}
		}
	}
}

// runCleared writes the parts that are cleared until ctx ends, those of some time together.
func (pu *Publisher) runCleared(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case parts := <-pu.cleared:
			pacer.Sleep(ctx, clearedDelay)
			for len(pu.cleared) > 0 {
				parts = append(parts, <-pu.cleared...)
			}
			slices.Sort(parts)
			if err := pu.Store.RecordCleared(ctx, time.Now(), slices.Compact(parts)); err != nil {
				pu.Log.Warn("cleared parts not recorded", "parts", len(parts), "error", err)
			}
		}
	}
}

// write writes the records that differ from what is known, and reports whether all
// could be written.
func (pu *Publisher) write(ctx context.Context) bool {
	all := true
	for part, ps := range pu.Parts.Unrecorded() {
		if err := pu.Store.RecordPart(ctx, part, ps); err != nil {
			pu.Log.Warn("record of a part not written, retrying", "part", part, "blocked", ps.Blocked, "trials", ps.Trials, "error", err)
			all = false
			continue
		}
		pu.Parts.RecordWritten(part, ps)
		pu.Log.Info("part recorded", "part", part, "blocked", ps.Blocked, "trials", ps.Trials)
	}
	return all
}
