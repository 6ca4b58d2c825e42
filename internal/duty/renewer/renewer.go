// Package renewer limits the age of what an entry VM knows of the platform's store. Another
// entry VM that reads the store for all may be turned away there, frozen or cut off, and a
// read that waits for changes may never be answered: none of that shows. So an entry VM reads
// the store itself when it has not been confirmed for too long that it knows the newest.
package renewer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// spread is the part of MaxAge that is added at random at the most, so that the first
	// entry VM that reads spares the others the call. A few, earlyReaders in the mean, add no more
	// than earlySpread, and the others at least lateSpread: by then they have heard.
	spread, earlySpread, lateSpread = 0.1, 0.04, 0.07
	earlyReaders                    = 5
	// retryShare is the time from one failed read to the next, as a part of MaxAge. As much as
	// a quarter of it is added at random.
	retryShare = 1.1
)

// Renewer renews what is known of one topic. Its exported fields must be set before Run.
type Renewer struct {
	Topic ml.TopicName
	// ConfirmedAt returns a time up to which all that the store has acknowledged in the topic
	// is applied. It is zero before the first confirmation.
	ConfirmedAt func() time.Time
	// Read reads the topic, without waiting for changes, and so raises ConfirmedAt.
	Read func(ctx context.Context) error
	// OnRead is called after each read that succeeded.
	OnRead func()
	// Peers returns how many other entry VMs hear of what this one reads. It may be nil, for none.
	Peers func() int
	// MaxAge is the age of ConfirmedAt from which on the topic is read. At 0 it never is.
	MaxAge time.Duration
	// StartDelay is the time after the start before which an entry VM without any
	// confirmation does not read.
	StartDelay time.Duration
	Log        *slog.Logger
}

// Run reads the topic whenever the newest confirmation is older than MaxAge, until ctx ends.
func (re *Renewer) Run(ctx context.Context) error {
	startedAt := time.Now().Add(re.StartDelay)
	for ctx.Err() == nil {
		re.waitUntilStale(ctx, startedAt)
		sentAt := time.Now()
		if ctx.Err() != nil {
			break
		}
		if err := re.read(ctx, sentAt); err != nil {
			pacer.Sleep(ctx, re.retryInterval()-time.Since(sentAt))
		}
	}
	return ctx.Err()
}

// waitUntilStale returns when the newest confirmation is older than MaxAge and a random part of
// it. That is drawn anew when others have read, so that no entry VM is always late: not for each of
// several reads that some have begun in the same moment.
func (re *Renewer) waitUntilStale(ctx context.Context, startedAt time.Time) {
	if re.MaxAge <= 0 {
		<-ctx.Done()
		return
	}
	drawnFor, limit := re.ConfirmedAt(), re.MaxAge+re.delay()
	for ctx.Err() == nil {
		at := re.ConfirmedAt()
		if at.Sub(drawnFor) > re.MaxAge/2 {
			drawnFor, limit = at, re.MaxAge+re.delay()
		}
		remaining := limit - age(time.Now(), at, startedAt)
		if remaining <= 0 {
			return
		}
		pacer.Sleep(ctx, remaining)
	}
}

// delay returns a random time beyond MaxAge after which the topic is read.
func (re *Renewer) delay() time.Duration {
	peers := 0
	if re.Peers != nil {
		peers = re.Peers()
	}
	if rand.N(max(peers+1, 2*earlyReaders)) < earlyReaders {
		return rand.N(re.part(earlySpread))
	}
	return re.part(lateSpread) + rand.N(re.part(spread-lateSpread))
}

// age returns the age of a confirmation, or that of the start if there is none.
func age(now, confirmedAt, startedAt time.Time) time.Duration {
	if confirmedAt.IsZero() {
		return now.Sub(startedAt)
	}
	return ml.Age(now, confirmedAt)
}

func (re *Renewer) read(ctx context.Context, sentAt time.Time) error {
	before := re.ConfirmedAt()
	err := re.Read(ctx)
	re.Log.Info("topic renewed", "topic", re.Topic, "confirmedAgeMs", confirmedAge(sentAt, before), "tookMs", time.Since(sentAt).Milliseconds(), "error", err)
	if err == nil {
		re.OnRead()
	}
	return err
}

// confirmedAge returns the age of a confirmation in milliseconds, or -1 if there is none.
func confirmedAge(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return ml.Age(now, at).Milliseconds()
}

// retryInterval returns the time from the beginning of a failed read to the next.
func (re *Renewer) retryInterval() time.Duration {
	interval := re.part(retryShare)
	return interval + rand.N(interval/4)
}

func (re *Renewer) part(share float64) time.Duration {
	return max(time.Duration(share*float64(re.MaxAge)), 4)
}
