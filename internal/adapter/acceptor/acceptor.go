// Package acceptor serves HTTP to callers within limits that may change while
// it runs. Connections keep the limits that were in force when they came.
package acceptor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// The limits before a configuration has named any, and where it names none.
const (
	usualHeaderBytes   = 16 << 10
	usualHeaderTimeout = 3 * time.Second
	usualIdleTimeout   = 15 * time.Second
)

// Acceptor accepts connections and hands each to the server with the limits in
// force. Its fields are set before Run.
type Acceptor struct {
	Handler http.Handler

	mu      sync.Mutex
	limits  ml.CallerLimits
	gate    *gate
	servers []*http.Server
}

// SetLimits puts limits in force for new connections.
func (ac *Acceptor) SetLimits(li ml.CallerLimits) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.gate != nil && li == ac.limits {
		return
	}
	ac.limits = li
	if ac.gate != nil {
		ac.gate.stop()
	}
	ac.gate = &gate{conns: make(chan net.Conn), done: make(chan struct{})}
	se := &http.Server{
		Handler: ac.Handler, MaxHeaderBytes: or(li.HeaderBytes, usualHeaderBytes),
		ReadHeaderTimeout: or(li.HeaderTimeout, usualHeaderTimeout), IdleTimeout: or(li.IdleTimeout, usualIdleTimeout),
	}
	ac.servers = append(ac.servers, se)
	go ac.gate.run(se)
}

func or[T int | time.Duration](value, usual T) T {
	if value <= 0 {
		return usual
	}
	return value
}

// Run accepts connections at a listener until ctx ends, and then closes all.
func (ac *Acceptor) Run(ctx context.Context, li net.Listener) error {
	ac.SetLimits(ac.current())
	stop := context.AfterFunc(ctx, func() { _ = li.Close() })
	defer stop()
	defer ac.close()
	for {
		nc, err := li.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept callers: %w", err)
		}
		ac.pass(nc)
	}
}

func (ac *Acceptor) current() ml.CallerLimits {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.limits
}

// pass hands a connection to the server in force. One that is being replaced
// takes none any more; the connection then goes to its successor.
func (ac *Acceptor) pass(nc net.Conn) {
	for {
		ac.mu.Lock()
		ga := ac.gate
		ac.mu.Unlock()
		select {
		case ga.conns <- nc:
			return
		case <-ga.done:
		}
	}
}

func (ac *Acceptor) close() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.gate.stop()
	for _, se := range ac.servers {
		_ = se.Close()
	}
}

// gate is the listener of one server. It implements net.Listener.
type gate struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// run serves the connections of the gate. Those that are open when it stops go
// on being served.
func (ga *gate) run(se *http.Server) { _ = se.Serve(ga) }

func (ga *gate) stop() { ga.once.Do(func() { close(ga.done) }) }

// Accept implements net.Listener.
func (ga *gate) Accept() (net.Conn, error) {
	select {
	case nc := <-ga.conns:
		return nc, nil
	case <-ga.done:
		return nil, errors.New("the limits have changed")
	}
}

// Close implements net.Listener.
func (ga *gate) Close() error {
	ga.stop()
	return nil
}

// Addr implements net.Listener.
func (ga *gate) Addr() net.Addr { return &net.TCPAddr{} }
