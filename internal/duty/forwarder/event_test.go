package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
)

// TestReadEvent checks event ids, events longer than the read buffer, and streams
// that end within an event.
func TestReadEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	long := strings.Repeat("y", 10_000)
	in := bufio.NewReaderSize(strings.NewReader("id: 7\ndata: x\n\ndata: "+long+"\r\n\r\nid: 9\nda"), 16)
	ev, err := readEvent(in, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ev.id).To(gomega.Equal(ml.EventID(7)))
	g.Expect(string(ev.raw)).To(gomega.Equal("id: 7\ndata: x\n\n"))
	ev, err = readEvent(in, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ev.hasID).To(gomega.BeFalse())
	g.Expect(ev.raw).To(gomega.HaveLen(len(long) + 10))
	_, err = readEvent(in, nil)
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
	_, err = readEvent(bufio.NewReader(strings.NewReader("id: x\n\n")), nil)
	g.Expect(err).To(gomega.HaveOccurred())
}

// FuzzReadEvent checks that the events read add up to the input, byte for byte.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"))
	f.Add([]byte("\n\n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		in := bufio.NewReaderSize(bytes.NewReader(data), 16)
		out := []byte{}
		for {
			ev, err := readEvent(in, nil)
			if errors.Is(err, io.EOF) {
				break
			}
			out = append(out, ev.raw...)
			if err != nil {
				break
			}
		}
		if !bytes.HasPrefix(data, out) {
			t.Fatalf("read %q of %q", out, data)
		}
	})
}
