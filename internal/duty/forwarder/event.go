package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// event is one complete event of a stream, including the blank line that ends it.
type event struct {
	raw     []byte // with comments and blank lines before it
	id      ml.EventID
	hasID   bool
	hasData bool
}

// eventCopies is how often the bytes of an event are in memory, with those that its buffer has to
// spare.
const eventCopies = 2

// readEvent reads the next event, which the message of a stream then holds. It returns io.EOF at
// the end of the stream, and another error if the stream ends within an event.
func readEvent(in *bufio.Reader, me *bounder.Message) (event, error) {
	ev := event{}
	for {
		line, err := in.ReadSlice('\n')
		if full := me.Grow(eventCopies * len(line)); full != nil {
			return ev, full
		}
		ev.raw = append(ev.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(ev.raw) <= maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.raw)) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, err
		}
		if len(ev.raw) > maxEventBytes {
			return ev, fmt.Errorf("an event is longer than %d bytes", maxEventBytes)
		}
		if text := bytes.TrimRight(line, "\r\n"); len(text) == 0 && isCompleteLine(ev.raw, line) {
			return ev, ev.parseFields()
		}
	}
}

// isCompleteLine reports whether line, which ends raw, is a complete line and not
// the last part of one that was longer than the read buffer.
func isCompleteLine(raw, line []byte) bool {
	before := raw[:len(raw)-len(line)]
	return len(before) == 0 || before[len(before)-1] == '\n'
}

// parseFields reads the event's id, if it has one, and whether it has data.
func (ev *event) parseFields() error {
	for line := range bytes.Lines(ev.raw) {
		ev.hasData = ev.hasData || bytes.HasPrefix(line, []byte("data"))
		text, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		if err != nil {
			return fmt.Errorf("event id %q: %w", bytes.TrimSpace(text), err)
		}
		ev.id, ev.hasID = ml.EventID(n), true
	}
	return nil
}
