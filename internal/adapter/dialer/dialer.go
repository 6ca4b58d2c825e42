// Package dialer opens and accepts TCP connections that notice a peer which has
// gone silent.
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
	// unacknowledged is how long sent bytes may stay unacknowledged.
	unacknowledged = 2 * time.Second
	// probeIdle, probeEach and probeCount find a peer from which nothing is
	// expected to come and that is gone.
	probeIdle, probeEach = time.Second, time.Second
	probeCount           = 2
)

// New returns a dialer.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: control}
}

// Listen accepts connections at an address (host:port).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
	return lc.Listen(ctx, "tcp", address)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEach, Count: probeCount}
}

func control(_, _ string, raw syscall.RawConn) error {
	var err error
	outer := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	return errors.Join(outer, err)
}
