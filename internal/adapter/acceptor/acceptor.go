// Package acceptor serves HTTP to callers with limits that may change at run time.
// A connection keeps the limits that were in force when it was accepted.
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

// The limits before a configuration is loaded, and where it sets none.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Acceptor accepts connections and hands each to the HTTP server with the limits
// in force. Its exported fields are set before Run.
type Acceptor struct {
	Handler http.Handler

	mu       sync.Mutex
	limits   ml.CallerLimits
	listener *handoffListener // of the server with the limits in force
	servers  []*http.Server   // all, since replaced ones still serve their connections
}

// SetLimits sets the limits of new connections. It starts a new HTTP server, since
// a server's limits can't change while it runs.
func (ac *Acceptor) SetLimits(li ml.CallerLimits) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.listener != nil && li == ac.limits {
		return
	}
	ac.limits = li
	ac.startServer()
}

// startServer starts an HTTP server with the limits in force, which takes the place of the
// one before. The caller must hold ac.mu.
func (ac *Acceptor) startServer() {
	li := ac.limits
	if ac.listener != nil {
		ac.listener.stop()
	}
	ac.listener = &handoffListener{conns: make(chan net.Conn), done: make(chan struct{})}
	se := &http.Server{
		Handler: ac.Handler, MaxHeaderBytes: orDefault(li.HeaderBytes, defaultHeaderBytes),
		ReadHeaderTimeout: orDefault(li.HeaderTimeout, defaultHeaderTimeout), IdleTimeout: orDefault(li.IdleTimeout, defaultIdleTimeout),
	}
	ac.servers = append(ac.servers, se)
	go ac.listener.serve(se)
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Run accepts connections at a listener until ctx ends, and then closes the
// listener and all connections.
func (ac *Acceptor) Run(ctx context.Context, li net.Listener) error {
	ac.startFirstServer()
	stop := context.AfterFunc(ctx, func() { _ = li.Close() })
	defer stop()
	defer ac.close()
	for {
		nc, err := li.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept caller connection: %w", err)
		}
		ac.handOff(nc)
	}
}

// startFirstServer starts a server unless SetLimits has done so.
func (ac *Acceptor) startFirstServer() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.listener == nil {
		ac.startServer()
	}
}

// Limits returns the limits of new connections.
func (ac *Acceptor) Limits() ml.CallerLimits {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.limits
}

// handOff hands a connection to the server with the limits in force. If that server
// is replaced meanwhile, the connection goes to the new one.
func (ac *Acceptor) handOff(nc net.Conn) {
	for {
		ac.mu.Lock()
		hl := ac.listener
		ac.mu.Unlock()
		select {
		case hl.conns <- nc:
			return
		case <-hl.done:
		}
	}
}

func (ac *Acceptor) close() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.listener.stop()
	for _, se := range ac.servers {
		_ = se.Close()
	}
}

// handoffListener is the listener of one HTTP server. It returns the connections
// that the acceptor hands off. It implements net.Listener.
type handoffListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// serve serves the listener's connections. Those that are open when it stops are
// still served.
func (hl *handoffListener) serve(se *http.Server) { _ = se.Serve(hl) }

func (hl *handoffListener) stop() { hl.once.Do(func() { close(hl.done) }) }

// Accept implements net.Listener.
func (hl *handoffListener) Accept() (net.Conn, error) {
	select {
	case nc := <-hl.conns:
		return nc, nil
	case <-hl.done:
		return nil, errors.New("listener closed: the limits were replaced or the acceptor has stopped")
	}
}

// Close implements net.Listener.
func (hl *handoffListener) Close() error {
	hl.stop()
	return nil
}

// Addr implements net.Listener.
func (hl *handoffListener) Addr() net.Addr { return &net.TCPAddr{} }
