// Package follower reads the platform's log and keeps what folds from it. It
// appends snapshots before retention takes the old ones, and takes over newer
// state from neighbours while the log can't be reached.
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
	// pollWait is the longest wait of one read for new records.
	pollWait = 2 * time.Second
	// healthyFor is the time after a successful read during which the log
	// counts as reachable.
	healthyFor = 5 * time.Second
	// readTimeout bounds one read.
	readTimeout = 4 * time.Second
	// retryDelay is the longest wait after a failed read.
	retryDelay = 500 * time.Millisecond
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

	mu      sync.Mutex
	folder  folder.StateMachine
	read    time.Time     // last successful read
	end     bool          // the newest record was read
	changed chan struct{} // closed and replaced when records were folded
	snap    snapshotter
}

// New returns a follower.
func New(source ml.Log, ke *keeper.Keeper, lo *slog.Logger) *Follower {
	return &Follower{Source: source, Keeper: ke, Log: lo, changed: make(chan struct{})}
}

// String names the step in logs.
func (fo *Follower) String() string { return "log follower" }

// Run reads until ctx ends.
func (fo *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := fo.readPage(ctx); err != nil && ctx.Err() == nil {
			readErrors.Inc()
			fo.Log.Warn("read log", "error", err)
			pacer.Sleep(ctx, rand.N(retryDelay))
		}
	}
	return ctx.Err()
}

func (fo *Follower) readPage(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	fo.mu.Lock()
	from := fo.folder.NextOffset()
	fo.mu.Unlock()
	pa, err := fo.Source.Read(ctx, from, pollWait)
	if err != nil {
		return fmt.Errorf("read log from offset %d: %w", from, err)
	}
	return fo.fold(time.Now(), pa)
}

func (fo *Follower) fold(now time.Time, pa ml.LogPage) error {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if err := fo.folder.ApplyPage(pa); err != nil {
		return err
	}
	recordsRead.Add(len(pa.Records))
	fo.read = now
	fo.end = fo.end || fo.folder.NextOffset() >= pa.End
	fo.snap.saw(now, pa)
	// State is in force only once all that was there has been folded.
	if fl := fo.folder.Fleet(); fl != nil && fo.end {
		fo.Keeper.SetFleet(fl)
	}
	fo.announce()
	return nil
}

func (fo *Follower) announce() {
	close(fo.changed)
	fo.changed = make(chan struct{})
}

// Healthy tells whether the log was read to its end lately.
func (fo *Follower) Healthy(now time.Time) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.end && now.Sub(fo.read) < healthyFor
}

// Claim returns the claim that holds a key, or nil, and a channel that is
// closed at the next change.
func (fo *Follower) Claim(key string) (*folder.Claim, <-chan struct{}) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	held := fo.folder.Claim(key)
	if held != nil && held.Expired(time.Now()) {
		held = nil
	}
	return held, fo.changed
}

// Lease returns the newest lease on a place.
func (fo *Follower) Lease(pl ml.Place) (folder.Lease, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.folder.Lease(pl)
}

// FleetSnapshot returns the fleet state to pass on to a neighbour, or nil.
func (fo *Follower) FleetSnapshot() *folder.Fleet {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.folder.FleetSnapshot()
}

// InstallSnapshot takes over a neighbour's fleet state when it is newer.
func (fo *Follower) InstallSnapshot(state json.RawMessage) error {
	fl := folder.Fleet{}
	if err := json.Unmarshal(state, &fl); err != nil {
		return fmt.Errorf("read neighbour's state: %w", err)
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.folder.InstallSnapshot(&fl) {
		fo.Keeper.SetFleet(fo.folder.Fleet())
		fo.announce()
	}
	return nil
}

// Result reads the kept answer of a finished call from the log.
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
