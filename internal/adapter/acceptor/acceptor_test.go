package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/acceptor"
)

// TestLimitsChange checks that new limits apply to new connections only, that slow
// and idle callers are disconnected, and that all connections are closed at the
// end.
func TestLimitsChange(t *testing.T) {
	g := gomega.NewWithT(t)
	ac := &acceptor.Acceptor{Handler: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, "ok") })}
	li, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- ac.Run(ctx, li) }()
	dial := func() (net.Conn, *bufio.Reader) {
		nc, err := net.Dial("tcp", li.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return nc, bufio.NewReader(nc)
	}
	get := func(nc net.Conn, reader *bufio.Reader, header string) string {
		_, _ = fmt.Fprintf(nc, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", header)
		rs, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "closed"
		}
		defer rs.Body.Close()
		_, _ = io.Copy(io.Discard, rs.Body)
		return rs.Status
	}
	open, openReader := dial()
	g.Expect(get(open, openReader, "a")).To(gomega.ContainSubstring("200"))
	long := strings.Repeat("x", 12_000)
	ac.SetLimits(ml.CallerLimits{HeaderBytes: 100, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 100 * time.Millisecond})
	limited, limitedReader := dial()
	g.Expect(get(limited, limitedReader, long)).To(gomega.ContainSubstring("431"))
	g.Expect(get(open, openReader, long)).To(gomega.ContainSubstring("200"), "an open connection keeps its limits")
	slow, slowReader := dial()
	_, _ = io.WriteString(slow, "GET / HT")
	_, err = slowReader.ReadString('z')
	g.Expect(err).To(gomega.MatchError(io.EOF))
	idle, idleReader := dial()
	g.Expect(get(idle, idleReader, "a")).To(gomega.ContainSubstring("200"))
	_, err = idleReader.ReadByte()
	g.Expect(err).To(gomega.MatchError(io.EOF))
	cancel()
	g.Expect(<-done).To(gomega.MatchError(context.Canceled))
	g.Expect(get(open, openReader, "a")).To(gomega.Equal("closed"))
}
