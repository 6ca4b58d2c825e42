// Package garbler is a stand-in for a server in trouble: what it sends as an answer need not be
// HTTP, and it may reset the connection instead of ending it.
package garbler

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
)

// Ending is how a connection ends.
type Ending int

// The ways in which connections end.
const (
	Closes        Ending = iota // it is closed after the request was read and answered
	Resets                      // it is reset after the answer, while the request's body may still be written
	EndsAndReads                // the answer ends in good order before the body is read, which is read then
	EndsAndResets               // the answer ends in good order before the body is read; then the connection is reset
)

// Garbler answers each request with a text, and ends the connection.
type Garbler struct {
	Answer func(*http.Request) string
	Ending Ending
}

// Test is a running test.
type Test interface {
	Cleanup(stop func()) // calls stop when the test has ended
}

// Start serves the garbler's answers at a loopback address (host:port) until the test ends.
func (ga *Garbler) Start(t Test) string {
	server := httptest.NewServer(ga)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// ServeHTTP implements http.Handler.
func (ga *Garbler) ServeHTTP(wr http.ResponseWriter, hr *http.Request) {
	if ga.Ending == Closes {
		_, _ = io.Copy(io.Discard, hr.Body) // fails only if the sender has left
	}
	nc, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		panic(err) // HTTP/1.1 connections can be hijacked
	}
	defer nc.Close()
	_, _ = io.WriteString(nc, ga.Answer(hr)) // fails only if the sender has left
	ga.end(nc.(*net.TCPConn))
}

// end ends a connection on which the answer was sent, up to its closing. What it calls fails only
// if the sender has left.
func (ga *Garbler) end(nc *net.TCPConn) {
	if ga.Ending == EndsAndReads || ga.Ending == EndsAndResets {
		_ = nc.CloseWrite()
	}
	if ga.Ending == EndsAndReads {
		_, _ = io.Copy(io.Discard, nc)
	}
	if ga.Ending == Resets || ga.Ending == EndsAndResets {
		_ = nc.SetLinger(0)
	}
}
