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

// Garbler answers each request with a text, and closes the connection.
type Garbler struct {
	Answer func(*http.Request) string
	// Resets has it answer before it reads the body, and reset the connection while the body
	// may still be written.
	Resets bool
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
	if !ga.Resets {
		_, _ = io.Copy(io.Discard, hr.Body) // fails only if the sender has left
	}
	nc, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		panic(err) // HTTP/1.1 connections can be hijacked
	}
	defer nc.Close()
	_, _ = io.WriteString(nc, ga.Answer(hr)) // fails only if the sender has left
	if ga.Resets {
		_ = nc.(*net.TCPConn).SetLinger(0) // fails only if the sender has left
	}
}
