// Package dialer opens and accepts TCP connections that fail within seconds when the
// peer no longer responds.
package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout bounds how long sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
	// Keep-alive probes detect a lost peer on a connection on which nothing is sent.
	keepAliveIdle, keepAliveInterval = time.Second, time.Second
	keepAliveProbes                  = 2
)

// Dialer opens connections whose reads return io.EOF only if the peer has ended what it sends.
type Dialer struct{ net.Dialer }

// New returns a dialer that opens a connection within the timeout.
func New(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig(), ControlContext: prepare}}
}

// DialContext opens a connection, like net.Dialer.
func (di *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := di.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc}, nil
}

// Listen returns a listener at an address (host:port).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
	return lc.Listen(ctx, "tcp", address)
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// prepare is called with each socket before it is connected.
func prepare(ctx context.Context, network, address string, raw syscall.RawConn) error {
	if err := checkPath(ctx, address); err != nil {
		return err
	}
	return setUserTimeout(network, address, raw)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}
