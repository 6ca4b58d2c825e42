// Package relayer stands in for the network between VMs: it passes TCP
// connections on and can cut links, in both directions or in one. Bytes on a
// cut link wait, as on a real one, until it is mended.
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

// Link is the way from one machine to another.
type Link struct {
	From, To string
}

// Relayer passes connections on. The zero value has no routes.
type Relayer struct {
	// HostName returns the name of the machine with a source IP number.
	HostName func(ip string) string

	mu   sync.Mutex
	cuts map[Link]bool
}

// Cut cuts the way from one machine to another.
func (re *Relayer) Cut(li Link) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.cuts == nil {
		re.cuts = make(map[Link]bool)
	}
	re.cuts[li] = true
}

// Restore mends the way from one machine to another.
func (re *Relayer) Restore(li Link) {
	re.mu.Lock()
	defer re.mu.Unlock()
	delete(re.cuts, li)
}

// isCut tells whether nothing passes.
func (re *Relayer) isCut(li Link) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.cuts[li]
}

// Forward passes connections to a listener on to the machine named to, at
// target, until ctx ends.
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

// runConnection passes one connection on. A connection over a cut link is
// neither accepted nor refused by the target until the link is mended.
func (re *Relayer) runConnection(ctx context.Context, in net.Conn, to, target string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer in.Close()
	host, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	there := Link{From: re.HostName(host), To: to}
	back := Link{From: there.To, To: there.From}
	if !re.waitMended(ctx, there) || !re.waitMended(ctx, back) {
		return
	}
	out, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		// Refused by the target: the caller sees a reset.
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
		re.loopCopy(ctx, out, in, there)
	}()
	re.loopCopy(ctx, in, out, back)
	cancel()
	<-done
}

// loopCopy passes bytes in one direction until either side ends.
func (re *Relayer) loopCopy(ctx context.Context, to, from net.Conn, li Link) {
	const size = 32 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !re.waitMended(ctx, li) {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if tc, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) && re.waitMended(ctx, li) {
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

// waitMended waits until the link is whole. It returns false when ctx ends.
func (re *Relayer) waitMended(ctx context.Context, li Link) bool {
	const interval = 10 * time.Millisecond
	for re.isCut(li) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(interval):
		}
	}
	return true
}
