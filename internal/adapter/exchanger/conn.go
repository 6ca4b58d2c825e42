package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylever/mulberrylever/internal/adapter/validator"
	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
)

const (
	// bufferBytes is the size of a connection's read buffer and of the buffer of one
	// written request.
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the heads that are read for one request: that of its answer,
	// of interim (1xx) answers and of answers to other requests.
	maxHeadBytes = 128 << 10
	// maxHeadLines bounds their lines: each takes much more memory than its bytes.
	maxHeadLines = 512
	// headCopies is how often the bytes of a head are in memory while it is decoded and checked.
	headCopies = 3
	// maxStrayAnswers bounds the answers to other requests that are skipped before
	// the answer to one request.
	maxStrayAnswers = 2
	// maxStrayBodyBytes bounds the body of a skipped answer.
	maxStrayBodyBytes = 1 << 20
	// idleTimeoutMargin is subtracted from an endpoint's idle timeout, so that no
	// request is sent while the endpoint closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// defaultIdleTimeout is used when the endpoint sends no idle timeout.
	defaultIdleTimeout = 3 * time.Second
)

// conn is one connection to an endpoint. It carries one request at a time.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	bytesWritten atomic.Int64     // of the current request
	readsHead    bool             // Read is limited to headLeft bytes
	headLeft     int              // bytes that may still be read as heads
	headLines    int              // lines that were read as heads, and maybe as the body after them
	head         []byte           // what was received of the head that is read, and maybe of the body after it
	message      *bounder.Message // what the heads that were read for the current request hold
	expiresAt    time.Time        // no request is sent on it after this time
	carried      []uint64         // hashes of the ids of the requests that it has carried
}

func newConn(nc net.Conn) *conn {
	co := &conn{Conn: nc}
	co.reader = bufio.NewReaderSize(co, bufferBytes)
	return co
}

// recordID records that the connection carries a request with an id.
func (co *conn) recordID(id string) { co.carried = append(co.carried, xxhash.Sum64String(id)) }

// hasCarried reports whether the connection has carried a request with an id.
func (co *conn) hasCarried(id string) bool {
	return slices.Contains(co.carried, xxhash.Sum64String(id))
}

// errHeadTooLong means that an endpoint sent more than maxHeadBytes or maxHeadLines without an
// answer.
var errHeadTooLong = errors.New("the head of the answer is too long")

// Read implements io.Reader. While a head is read, it limits the number of bytes: an
// endpoint may send bytes that are no head and never stop.
func (co *conn) Read(part []byte) (int, error) {
	if !co.readsHead {
		return co.Conn.Read(part)
	}
	if co.headLeft <= 0 || co.headLines > maxHeadLines {
		return 0, errHeadTooLong
	}
	n, err := co.Conn.Read(part[:min(len(part), co.headLeft)])
	co.head = append(co.head, part[:n]...)
	co.headLeft -= n
	co.headLines += bytes.Count(part[:n], []byte("\n"))
	if full := co.message.Grow(headCopies * n); full != nil {
		return 0, full
	}
	return n, err
}

// readHead reads the next head of an answer, and checks the names of its fields.
func (co *conn) readHead(rq *http.Request) (*http.Response, error) {
	received, err := co.reader.Peek(co.reader.Buffered())
	if err != nil {
		return nil, err
	}
	co.head, co.readsHead = bytes.Clone(received), true
	defer func() { co.head, co.readsHead = nil, false }()
	rs, err := http.ReadResponse(co.reader, rq)
	if err != nil {
		return nil, err
	}
	head := co.head[:len(co.head)-co.reader.Buffered()]
	return rs, validator.CheckHead(head)
}

// Write implements io.Writer. It counts the bytes that the network has accepted.
func (co *conn) Write(part []byte) (int, error) {
	n, err := co.Conn.Write(part)
	co.bytesWritten.Add(int64(n))
	return n, err
}

// isIdle reports whether the connection is open and has no bytes to read. A
// connection on which unrequested bytes have arrived can't be used again.
func (co *conn) isIdle() bool {
	if co.reader.Buffered() > 0 {
		return false
	}
	sc, hasRaw := co.Conn.(syscall.Conn)
	if !hasRaw {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	isSilent := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isSilent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && isSilent
}

// writeRequest writes a request. It runs concurrently with the reading, since an
// endpoint may answer before it has read a long body.
func (co *conn) writeRequest(rq *http.Request, onSent func(), done chan<- error) {
	out := bufio.NewWriterSize(co, bufferBytes)
	err := rq.Write(out)
	if err == nil {
		err = out.Flush()
	}
	if err == nil && onSent != nil {
		onSent()
	}
	done <- err
}

// readAnswer reads the head of the first answer that match accepts. It skips
// informational (1xx) answers and answers to other requests, which an endpoint may
// send late.
func (co *conn) readAnswer(rq *http.Request, match func(http.Header) bool) (*http.Response, error) {
	co.headLeft, co.headLines = maxHeadBytes, 0
	for stray := 0; ; {
		rs, err := co.readHead(rq)
		if err != nil {
			return nil, err
		}
		if rs.StatusCode/100 == 1 {
			continue
		}
		if err := validator.CheckStatus(rs.StatusCode); err != nil {
			return nil, err
		}
		if match(rs.Header) {
			return rs, nil
		}
		if stray++; stray > maxStrayAnswers || rs.Close {
			return nil, fmt.Errorf("answer %d belongs to another request", rs.StatusCode)
		}
		if _, err := io.CopyN(io.Discard, &validator.Body{ReadCloser: rs.Body, Answer: rs}, maxStrayBodyBytes); !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("skip an answer to another request: %w", err)
		}
	}
}

// idleTimeout returns how long a connection may stay idle, from the Keep-Alive
// header of an answer.
func idleTimeout(he http.Header) time.Duration {
	for _, part := range strings.Split(he.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return time.Duration(s)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// body is the body of an answer. It records whether its end was reached.
type body struct {
	io.Reader
	reachedEnd bool
}

// Read implements io.Reader.
func (bo *body) Read(part []byte) (int, error) {
	n, err := bo.Reader.Read(part)
	bo.reachedEnd = bo.reachedEnd || err == io.EOF
	return n, err
}

// interruptOn makes the connection's reads and writes fail once ctx ends. The
// returned function cancels this and reports whether it was still pending.
func (co *conn) interruptOn(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = co.SetDeadline(time.Unix(1, 0)) })
}
