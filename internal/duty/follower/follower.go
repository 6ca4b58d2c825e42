// Package follower reads the platform's log and holds the state built from it.
// It makes new snapshots before retention removes the old ones, and installs
// newer state from neighbours while the log can't be reached.
package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

const (
	// maxPollWait bounds how long one read waits for new records.
	maxPollWait = 2 * time.Second
	// maxHealthyReadAge is the time after a read to its end during which the
	// log counts as known.
	maxHealthyReadAge = 5 * time.Second
	readTimeout       = 4 * time.Second
	// maxRetryDelay bounds the random wait after a failed read.
	maxRetryDelay = 500 * time.Millisecond
)

var (
	readErrors  = metrics.NewCounter("mulberrylever_log_read_errors_total")
	recordsRead = metrics.NewCounter("mulberrylever_log_records_total")
)

// Follower reads the log.
type Follower struct {
	Source ml.Log
	Keeper *keeper.Keeper
	Log    *slog.Logger

	mu        sync.Mutex
	state     folder.StateMachine
	lastAtEnd time.Time     // last read that reached the end of the log
	caughtUp  bool          // the log was read to its end at least once
	changed   chan struct{} // closed and replaced when the state changes
	snapshots snapshotter
}

// New returns a follower.
func New(source ml.Log, ke *keeper.Keeper, lo *slog.Logger) *Follower {
	return &Follower{Source: source, Keeper: ke, Log: lo, changed: make(chan struct{})}
}

// String returns the component's name for logs.
func (fo *Follower) String() string { return "log follower" }

// Run reads the log until ctx ends.
func (fo *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := fo.readPage(ctx); err != nil && ctx.Err() == nil {
			readErrors.Inc()
			fo.Log.Warn("failed to read the log", "error", err)
			pacer.Sleep(ctx, rand.N(maxRetryDelay))
		}
	}
	return ctx.Err()
}

func (fo *Follower) readPage(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	fo.mu.Lock()
	from := fo.state.NextOffset()
	fo.mu.Unlock()
	pa, err := fo.Source.Read(ctx, from, maxPollWait)
	if err != nil {
		return fmt.Errorf("read log from offset %d: %w", from, err)
	}
	return fo.apply(time.Now(), pa)
}

func (fo *Follower) apply(now time.Time, pa ml.LogPage) error {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if err := fo.state.ApplyPage(pa); err != nil {
		return err
	}
	recordsRead.Add(len(pa.Records))
	if fo.state.NextOffset() >= pa.End {
		fo.lastAtEnd, fo.caughtUp = now, true
	}
	fo.snapshots.observe(now, pa)
	// The state is used only after the log was read to its end.
	if fl := fo.state.Fleet(); fl != nil && fo.caughtUp {
		fo.Keeper.SetFleet(fl)
	}
	fo.notifyWaiters()
	return nil
}

// notifyWaiters wakes all that wait for a change of state.
func (fo *Follower) notifyWaiters() {
	close(fo.changed)
	fo.changed = make(chan struct{})
}

// Healthy reports whether the log was read to its end lately. One that is read, but never to its
// end, tells nothing of what is newest.
func (fo *Follower) Healthy(now time.Time) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.caughtUp && now.Sub(fo.lastAtEnd) < maxHealthyReadAge
}

// Claim returns the claim on a key, or nil if the key may be claimed, and a
// channel that is closed at the next change of state.
func (fo *Follower) Claim(key string) (*folder.Claim, <-chan struct{}) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	claim := fo.state.Claim(key)
	if claim != nil && claim.Expired(time.Now()) {
		claim = nil
	}
	return claim, fo.changed
}

// Lease returns the newest lease on a place.
func (fo *Follower) Lease(pl ml.Place) (folder.Lease, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.state.Lease(pl)
}

// FleetSnapshot returns the fleet state to send to a neighbour, or nil.
func (fo *Follower) FleetSnapshot() *folder.Fleet {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.state.FleetSnapshot()
}

// InstallSnapshot installs a neighbour's fleet state if it is newer.
func (fo *Follower) InstallSnapshot(snapshot json.RawMessage) error {
	fl := folder.Fleet{}
	if err := json.Unmarshal(snapshot, &fl); err != nil {
		return fmt.Errorf("decode neighbour's state: %w", err)
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.state.InstallSnapshot(&fl) {
		fo.Keeper.SetFleet(fo.state.Fleet())
		fo.notifyWaiters()
	}
	return nil
}

// Result reads the result of a finished call from the log.
func (fo *Follower) Result(ctx context.Context, at ml.Offset) (folder.Result, error) {
	pa, err := fo.Source.Read(ctx, at, 0)
	if err != nil {
		return folder.Result{}, fmt.Errorf("read result at offset %d: %w", at, err)
	}
	rs := folder.Result{}
	if len(pa.Records) == 0 || pa.Records[0].Offset != at {
		return rs, fmt.Errorf("the log no longer has offset %d", at)
	}
	if err := json.Unmarshal(pa.Records[0].Body, &rs); err != nil {
		return rs, fmt.Errorf("read result at offset %d: %w", at, err)
	}
	return rs, nil
}
