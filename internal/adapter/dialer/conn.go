package dialer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection whose reads tell an orderly end from a failure. The kernel reports a
// failure once. If a write gets that report, reads end with io.EOF, as if the peer had sent
// all that it wanted to.
type conn struct {
	net.Conn

	writing  sync.Mutex // held during a write
	writeErr error      // of a write that was told that the connection failed; guarded by writing
}

// Write implements io.Writer.
func (co *conn) Write(part []byte) (int, error) {
	co.writing.Lock()
	defer co.writing.Unlock()
	n, err := co.Conn.Write(part)
	if err != nil && isFailure(err) {
		co.writeErr = err
	}
	return n, err
}

// isFailure reports whether the error of a write says that the connection failed before the peer
// had ended what it sends. It doesn't if this process has ended the write. Nor does EPIPE: a write
// gets that from a connection that was reset after the peer's orderly end, or whose failure was
// reported before, and one that was reset without that end reports ECONNRESET.
func isFailure(err error) bool {
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.EPIPE)
}

// Read implements io.Reader. It returns io.EOF only if the peer has ended what it sends. What is
// still being written then is not written any further.
func (co *conn) Read(part []byte) (int, error) {
	n, err := co.Conn.Read(part)
	if errors.Is(err, io.EOF) {
		if failure := co.endWrites(); failure != nil {
			return n, fmt.Errorf("read from a connection that a write found broken: %w", failure)
		}
	}
	return n, err
}

// endWrites ends the write that is under way, and returns the failure that a write was told of.
func (co *conn) endWrites() error {
	past := time.Unix(1, 0)
	if err := co.SetWriteDeadline(past); err != nil {
		return err
	}
	co.writing.Lock()
	defer co.writing.Unlock()
	return co.writeErr
}

// SyscallConn implements syscall.Conn.
func (co *conn) SyscallConn() (syscall.RawConn, error) {
	sc, hasRaw := co.Conn.(syscall.Conn)
	if !hasRaw {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
