// Package linewriter writes log lines without ever holding up those who log.
package linewriter

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

const (
	// ringSize is the number of lines that wait to be written.
	ringSize = 2048
	// bytesPerSecond and burstBytes bound what is written.
	bytesPerSecond = 256 << 10
	burstBytes     = 1 << 20
)

// Writer puts lines into a ring that Run empties. Lines that find the ring
// full, or the budget of bytes spent, are dropped and counted.
type Writer struct {
	Out io.Writer

	ring    chan []byte
	dropped atomic.Int64
	left    atomic.Int64 // bytes that may still be written
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	wr := &Writer{Out: out, ring: make(chan []byte, ringSize)}
	wr.left.Store(burstBytes)
	return wr
}

// Write implements io.Writer for one line. It never waits and never fails.
func (wr *Writer) Write(line []byte) (int, error) {
	if wr.left.Add(-int64(len(line))) < 0 {
		wr.left.Add(int64(len(line)))
		wr.dropped.Add(1)
		return len(line), nil
	}
	select {
	case wr.ring <- append([]byte(nil), line...):
	default:
		wr.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were not written.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }

// Run writes lines until ctx ends, and then what is left in the ring.
func (wr *Writer) Run(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			wr.flush()
			return ctx.Err()
		case <-tick.C:
			wr.left.Store(min(wr.left.Load()+bytesPerSecond, burstBytes))
		case line := <-wr.ring:
			wr.write(line)
		}
	}
}

func (wr *Writer) flush() {
	for {
		select {
		case line := <-wr.ring:
			wr.write(line)
		default:
			return
		}
	}
}

// write drops a line that can't be written: there is nowhere left to say so but
// the count.
func (wr *Writer) write(line []byte) {
	if _, err := wr.Out.Write(line); err != nil {
		wr.dropped.Add(1)
	}
}
