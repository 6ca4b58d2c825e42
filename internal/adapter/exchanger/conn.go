package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readBuffer is the size of a connection's buffer, in bytes.
	readBuffer = 4 << 10
	// maxForeign is the number of answers to other requests that are skipped
	// on one connection.
	maxForeign = 2
	// maxForeignBody bounds the body of such an answer, in bytes.
	maxForeignBody = 1 << 20
	// keepMargin is the part of an endpoint's idle timeout that is not used,
	// so that a request does not cross the close.
	keepMargin = 500 * time.Millisecond
	// keepDefault is how long a connection is kept when the endpoint names no
	// idle timeout.
	keepDefault = 3 * time.Second
)

// conn is one connection to an endpoint. It carries one request at a time.
type conn struct {
	net.Conn
	in      *bufio.Reader
	written atomic.Int64 // bytes of the request under way
	expires time.Time    // when the endpoint may close it
}

func newConn(nc net.Conn) *conn {
	co := &conn{Conn: nc}
	co.in = bufio.NewReaderSize(nc, readBuffer)
	return co
}

// Write counts what has been handed to the network.
func (co *conn) Write(part []byte) (int, error) {
	n, err := co.Conn.Write(part)
	co.written.Add(int64(n))
	return n, err
}

// idle tells whether the connection is still open and silent. Bytes that
// nobody asked for make it unusable.
func (co *conn) idle() bool {
	if co.in.Buffered() > 0 {
		return false
	}
	sc, isRaw := co.Conn.(syscall.Conn)
	if !isRaw {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// runWrite writes a request. It runs beside the reading, since an endpoint may
// answer before it has read a long body.
func (co *conn) runWrite(rq *http.Request, done chan<- error) {
	out := bufio.NewWriterSize(co, readBuffer)
	err := rq.Write(out)
	if err == nil {
		err = out.Flush()
	}
	done <- err
}

// readAnswer reads the head of the answer for which match holds. Answers to
// other requests, which an endpoint may send late, are skipped.
func (co *conn) readAnswer(rq *http.Request, match func(http.Header) bool) (*http.Response, error) {
	for foreign := 0; ; {
		rs, err := http.ReadResponse(co.in, rq)
		if err != nil {
			return nil, err
		}
		if rs.StatusCode/100 == 1 {
			continue
		}
		if match(rs.Header) {
			return rs, nil
		}
		if foreign++; foreign > maxForeign || rs.Close {
			return nil, fmt.Errorf("answer %d belongs to another request", rs.StatusCode)
		}
		if _, err := io.CopyN(io.Discard, rs.Body, maxForeignBody); !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("skip an answer to another request: %w", err)
		}
	}
}

// keepFor returns how long an endpoint keeps an idle connection.
func keepFor(he http.Header) time.Duration {
	for _, part := range strings.Split(he.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return time.Duration(s)*time.Second - keepMargin
		}
	}
	return keepDefault
}

// body is the body of an answer. It notes whether the end was reached.
type body struct {
	io.Reader
	ended bool
}

// Read implements io.Reader.
func (bo *body) Read(part []byte) (int, error) {
	n, err := bo.Reader.Read(part)
	bo.ended = bo.ended || err == io.EOF
	return n, err
}

// cutOn ends the connection's reads and writes when ctx ends. The returned
// function stops that and tells whether it had not happened.
func (co *conn) cutOn(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = co.SetDeadline(time.Unix(1, 0)) })
}
