package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	ml "github.com/mulberrylever/mulberrylever"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// event is one whole event of a stream, with the blank line that ends it.
type event struct {
	raw   []byte
	id    ml.EventID
	hasID bool
}

// readEvent reads the next event. It returns io.EOF at the end of the stream,
// and another error when the stream ends within an event.
func readEvent(in *bufio.Reader) (event, error) {
	ev := event{}
	for {
		line, err := in.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(ev.raw) <= maxEvent {
			continue
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.raw)) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, err
		}
		if len(ev.raw) > maxEvent {
			return ev, fmt.Errorf("an event is longer than %d bytes", maxEvent)
		}
		if text := bytes.TrimRight(line, "\r\n"); len(text) == 0 && endsLine(ev.raw, line) {
			return ev, ev.readID()
		}
	}
}

// endsLine tells whether line is a line of its own at the end of raw, and not
// the rest of one that was longer than the buffer.
func endsLine(raw, line []byte) bool {
	before := raw[:len(raw)-len(line)]
	return len(before) == 0 || before[len(before)-1] == '\n'
}

// readID reads the event's number, where it has one.
func (ev *event) readID() error {
	for line := range bytes.Lines(ev.raw) {
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
