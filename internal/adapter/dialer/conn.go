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
	writeErr error      // of the write that failed; guarded by writing
}

// Write implements io.Writer.
func (co *conn) Write(part []byte) (int, error) {
	co.writing.Lock()
	defer co.writing.Unlock()
	n, err := co.Conn.Write(part)
	if err != nil && !isOwn(err) {
		co.writeErr = err
	}
	return n, err
}

// isOwn reports whether a write was ended by this process, which says nothing about the
// connection.
func isOwn(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// Read implements io.Reader. It returns io.EOF only if no write has failed. What is still
// being written then is not written any further.
func (co *conn) Read(part []byte) (int, error) {
	n, err := co.Conn.Read(part)
	if errors.Is(err, io.EOF) {
		if failure := co.endWrites(); failure != nil {
			return n, fmt.Errorf("read after a write failed: %w", failure)
		}
	}
	return n, err
}

// endWrites ends the write that is under way, and returns the error of the one that failed.
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
