// Package relayer simulates the network between VMs in tests. It forwards TCP
// connections and can cut links in one or both directions. Data sent over a cut
// link is delayed until the link is restored, as on a real network.
package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Link is one direction of the network between two hosts, named as by HostName.
type Link struct {
	From, To string
}

// Relayer forwards connections. The zero value has no cut links. HostName must be
// set before Forward is called.
type Relayer struct {
	// HostName returns the name of the host with a source IP address.
	HostName func(ip string) string

	mu   sync.Mutex
	cuts map[Link]bool
}

// Cut stops the delivery of data over a link.
func (re *Relayer) Cut(li Link) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.cuts == nil {
		re.cuts = make(map[Link]bool)
	}
	re.cuts[li] = true
}

// Restore resumes the delivery of data over a link.
func (re *Relayer) Restore(li Link) {
	re.mu.Lock()
	defer re.mu.Unlock()
	delete(re.cuts, li)
}

// isCut reports whether a link is cut.
func (re *Relayer) isCut(li Link) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.cuts[li]
}

// Forward forwards connections from a listener to the host named to, at the address
// target, until ctx is done.
func (re *Relayer) Forward(ctx context.Context, li net.Listener, to, target string) error {
	context.AfterFunc(ctx, func() { _ = li.Close() })
	for {
		in, err := li.Accept()
		if err != nil {
			return fmt.Errorf("relay to %q: %w", to, err)
		}
		go re.runConnection(ctx, in, to, target)
	}
}

// runConnection forwards one connection. If a link is cut in either direction, it
// connects to the target only after the link is restored.
func (re *Relayer) runConnection(ctx context.Context, in net.Conn, to, target string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer in.Close()
	host, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	forward := Link{From: re.HostName(host), To: to}
	backward := Link{From: forward.To, To: forward.From}
	if !re.waitRestored(ctx, forward) || !re.waitRestored(ctx, backward) {
		return
	}
	out, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		// The target refused the connection. Without linger, the close resets the
		// caller's connection.
		if tc, ok := in.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		return
	}
	defer out.Close()
	context.AfterFunc(ctx, func() {
		_ = in.Close()
		_ = out.Close()
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		re.loopCopy(ctx, out, in, forward)
	}()
	re.loopCopy(ctx, in, out, backward)
	cancel()
	<-done
}

// loopCopy copies data in one direction until either side closes or fails.
func (re *Relayer) loopCopy(ctx context.Context, to, from net.Conn, li Link) {
	const bufferBytes = 32 << 10
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !re.waitRestored(ctx, li) {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if tc, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) && re.waitRestored(ctx, li) {
			_ = tc.CloseWrite()
		}
		if !errors.Is(err, io.EOF) {
			if tc, ok := to.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			_ = to.Close()
		}
		return
	}
}

// waitRestored waits until the link is not cut. It returns false when ctx is done.
func (re *Relayer) waitRestored(ctx context.Context, li Link) bool {
	const pollInterval = 10 * time.Millisecond
	for re.isCut(li) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}
