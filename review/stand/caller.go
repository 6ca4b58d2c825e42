//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Call is one request of a requester. It is sent once, on a connection of its own or on a kept
// one.
type Call struct {
	Method, Path, Key string
	Body              []byte
	TimeLimit         time.Duration
	Header            map[string]string
}

// Outcome is what a requester has seen of a request.
type Outcome struct {
	Attempt   string
	SentAt    time.Time // of its last byte
	EndedAt   time.Time
	Status    int // 0 without an answer
	Header    http.Header
	Body      []byte
	IsWhole   bool // the answer is complete
	IsCut     bool // the connection has ended without a complete answer
	GaveUp    bool // the time limit was reached first
	ReadError error
}

// String describes the outcome for the record.
func (ou *Outcome) String() string {
	took := ou.EndedAt.Sub(ou.SentAt).Milliseconds()
	switch {
	case ou.IsWhole:
		return fmt.Sprintf("%s: %d after %d ms, %d bytes", ou.Attempt, ou.Status, took, len(ou.Body))
	case ou.GaveUp:
		return fmt.Sprintf("%s: no complete answer within the time limit, status %d after %d ms", ou.Attempt, ou.Status, took)
	}
	return fmt.Sprintf("%s: the connection ended without a complete answer, status %d after %d ms: %v", ou.Attempt, ou.Status, took, ou.ReadError)
}

// routeHost is the host of all routes.
const routeHost = "ficu95.example"

var attempts atomic.Int64

// newAttempt returns a new attempt id.
func newAttempt() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))
}

// Connection is a requester's connection to an entry VM.
type Connection struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection to an entry VM.
func (vm *VM) dial() (*Connection, error) {
	nc, err := net.DialTimeout("tcp", vm.frontAddress(), time.Second)
	if err != nil {
		return nil, err
	}
	return &Connection{nc, bufio.NewReader(nc)}, nil
}

// call sends a request on a connection of its own.
func (vm *VM) call(ca Call) (*Outcome, error) {
	co, err := vm.dial()
	if err != nil {
		return nil, err
	}
	defer co.Close()
	return co.call(ca), nil
}

// call sends a request and reads its answer.
func (co *Connection) call(ca Call) *Outcome {
	ou := &Outcome{Attempt: newAttempt()}
	_ = co.SetDeadline(time.Now().Add(ca.TimeLimit))
	_, err := co.Write(ca.encode(ou.Attempt))
	ou.SentAt = time.Now()
	if err == nil {
		err = co.read(ca, ou)
	}
	ou.EndedAt, ou.ReadError = time.Now(), err
	var ne net.Error
	ou.GaveUp = errors.As(err, &ne) && ne.Timeout()
	ou.IsWhole = err == nil
	ou.IsCut = err != nil && !ou.GaveUp
	return ou
}

// encode returns the bytes of a request.
func (ca *Call) encode(attempt string) []byte {
	out := bytes.Buffer{}
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Mulberrylever-Attempt-Id: %s\r\n", ca.Method, ca.Path, routeHost, attempt)
	fmt.Fprintf(&out, "X-Mulberrylever-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", ca.TimeLimit.Milliseconds(), ca.Key)
	for name, value := range ca.Header {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	if ca.Method != http.MethodGet {
		out.WriteString("Content-Length: " + strconv.Itoa(len(ca.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(ca.Body)
	return out.Bytes()
}

func (co *Connection) read(ca Call, ou *Outcome) error {
	rs, err := http.ReadResponse(co.reader, &http.Request{Method: ca.Method})
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	ou.Status, ou.Header = rs.StatusCode, rs.Header
	ou.Body, err = io.ReadAll(rs.Body)
	return err
}
