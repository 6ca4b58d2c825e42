// Package writer appends records to the platform's log in batches, within the
// share of the log's rate that one entry VM may use.
package writer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// maxBatch bounds the records of one append.
	maxBatch = 200
	// maxWaiting bounds the records that wait.
	maxWaiting = 4096
	// minInterval is the least time between two appends of one entry VM.
	minInterval = 15 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// retryDelay is the longest wait after a failed append.
	retryDelay = 300 * time.Millisecond
)

var (
	appends      = metrics.NewCounter("mulberrylever_log_appends_total")
	appendErrors = metrics.NewCounter("mulberrylever_log_append_errors_total")
)

// entry is a record that waits, until its context ends.
type entry struct {
	ctx context.Context
	rec ml.Record
}

// Writer appends records. Every reader ignores a record that it has folded
// before, so an append whose answer was lost is simply made again.
type Writer struct {
	Log    *slog.Logger
	Target ml.Log

	ring chan entry
}

// New returns a writer.
func New(target ml.Log, lo *slog.Logger) *Writer {
	return &Writer{Log: lo, Target: target, ring: make(chan entry, maxWaiting)}
}

// String names the step in logs.
func (wr *Writer) String() string { return "log writer" }

// Enqueue hands a record over. The writer tries to append it until ctx ends; the
// record is in the log for certain only when the follower has read it. Enqueue
// returns false when too many records wait.
func (wr *Writer) Enqueue(ctx context.Context, rec ml.Record) bool {
	select {
	case wr.ring <- entry{ctx, rec}:
		return true
	default:
		return false
	}
}

// Run appends until ctx ends.
func (wr *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case en := <-wr.ring:
			wr.appendAll(ctx, wr.collect(en))
			pacer.Sleep(ctx, minInterval)
		}
	}
}

func (wr *Writer) collect(first entry) []entry {
	batch := []entry{first}
	for len(batch) < maxBatch {
		select {
		case en := <-wr.ring:
			batch = append(batch, en)
		default:
			return batch
		}
	}
	return batch
}

// appendAll appends the batch, again and again while a record in it is
// wanted.
func (wr *Writer) appendAll(ctx context.Context, batch []entry) {
	for ctx.Err() == nil {
		recs := make([]ml.Record, 0, len(batch))
		for _, en := range batch {
			if en.ctx.Err() == nil {
				recs = append(recs, en.rec)
			}
		}
		if len(recs) == 0 {
			return
		}
		err := wr.appendOnce(ctx, recs)
		if err == nil {
			return
		}
		appendErrors.Inc()
		wr.Log.Warn("append", "records", len(recs), "status", requester.Status(err), "error", err)
		pacer.Sleep(ctx, rand.N(retryDelay))
	}
}

func (wr *Writer) appendOnce(ctx context.Context, recs []ml.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := wr.Target.Append(ctx, recs)
	appends.Inc()
	return err
}
