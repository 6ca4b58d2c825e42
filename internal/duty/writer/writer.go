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
	maxBatchRecords  = 200
	maxQueuedRecords = 4096
	// minAppendInterval keeps one entry VM within its share of the log's rate.
	minAppendInterval = 15 * time.Millisecond
	appendTimeout     = 2 * time.Second
	// maxRetryDelay bounds the random wait after a failed append.
	maxRetryDelay = 300 * time.Millisecond
)

var (
	appends      = metrics.NewCounter("mulberrylever_log_appends_total")
	appendErrors = metrics.NewCounter("mulberrylever_log_append_errors_total")
)

// queuedRecord is a record that waits to be appended. It is dropped when its
// context ends.
type queuedRecord struct {
	ctx context.Context
	rec ml.Record
}

// Writer appends records. It repeats an append whose answer was lost: readers
// ignore records that they have applied before.
type Writer struct {
	Log    *slog.Logger
	Target ml.Log

	queue chan queuedRecord
}

// New returns a writer.
func New(target ml.Log, lo *slog.Logger) *Writer {
	return &Writer{Log: lo, Target: target, queue: make(chan queuedRecord, maxQueuedRecords)}
}

// String returns the component's name for logs.
func (wr *Writer) String() string { return "log writer" }

// Enqueue queues a record, which the writer tries to append until ctx ends.
// Only a record that the follower has read is certain to be in the log.
// Enqueue returns false if the queue is full.
func (wr *Writer) Enqueue(ctx context.Context, rec ml.Record) bool {
	select {
	case wr.queue <- queuedRecord{ctx, rec}:
		return true
	default:
		return false
	}
}

// Run appends queued records until ctx ends.
func (wr *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case qr := <-wr.queue:
			wr.appendBatch(ctx, wr.collectBatch(qr))
			pacer.Sleep(ctx, minAppendInterval)
		}
	}
}

func (wr *Writer) collectBatch(first queuedRecord) []queuedRecord {
	batch := []queuedRecord{first}
	for len(batch) < maxBatchRecords {
		select {
		case qr := <-wr.queue:
			batch = append(batch, qr)
		default:
			return batch
		}
	}
	return batch
}

// appendBatch appends the batch and retries until it succeeds or the contexts
// of all its records have ended.
func (wr *Writer) appendBatch(ctx context.Context, batch []queuedRecord) {
	for ctx.Err() == nil {
		recs := make([]ml.Record, 0, len(batch))
		for _, qr := range batch {
			if qr.ctx.Err() == nil {
				recs = append(recs, qr.rec)
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
		wr.Log.Warn("failed to append records to the log", "records", len(recs), "status", requester.Status(err), "error", err)
		pacer.Sleep(ctx, rand.N(maxRetryDelay))
	}
}

func (wr *Writer) appendOnce(ctx context.Context, recs []ml.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := wr.Target.Append(ctx, recs)
	appends.Inc()
	return err
}
