// Package linewriter writes log lines without ever blocking the code that logs
// them. Lines that it can't write in time are dropped and counted.
package linewriter

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 2048
	// bytesPerSecond and burstBytes are the rate and the capacity of the token
	// bucket that limits what is written.
	bytesPerSecond = 256 << 10
	burstBytes     = 1 << 20
)

// Writer puts lines into a queue that Run writes out. Lines that arrive while the
// queue is full or the byte budget is used up are dropped and counted.
type Writer struct {
	Out io.Writer

	queue   chan []byte
	dropped atomic.Int64
	budget  atomic.Int64 // bytes that may still be accepted
}

// New returns a writer to out. It writes nothing until Run is called.
func New(out io.Writer) *Writer {
	wr := &Writer{Out: out, queue: make(chan []byte, maxQueuedLines)}
	wr.budget.Store(burstBytes)
	return wr
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (wr *Writer) Write(line []byte) (int, error) {
	if wr.budget.Add(-int64(len(line))) < 0 {
		wr.budget.Add(int64(len(line)))
		wr.dropped.Add(1)
		return len(line), nil
	}
	select {
	case wr.queue <- append([]byte(nil), line...):
	default:
		wr.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }

// Run writes queued lines until ctx ends, and then the rest of the queue.
func (wr *Writer) Run(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			wr.flush()
			return ctx.Err()
		case <-tick.C:
			wr.budget.Store(min(wr.budget.Load()+bytesPerSecond, burstBytes))
		case line := <-wr.queue:
			wr.write(line)
		}
	}
}

func (wr *Writer) flush() {
	for {
		select {
		case line := <-wr.queue:
			wr.write(line)
		default:
			return
		}
	}
}

// write writes a line. A line that fails is counted as dropped, since there is no
// other place to report the error.
func (wr *Writer) write(line []byte) {
	if _, err := wr.Out.Write(line); err != nil {
		wr.dropped.Add(1)
	}
}
