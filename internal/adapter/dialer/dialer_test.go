package dialer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/adapter/dialer"
)

// answerPart is what a peer sends before the end of a connection.
const answerPart = "part"

// connect returns a connection from a dialer and its other end. Both are closed after the test.
func connect(t *testing.T) (nc net.Conn, peer *net.TCPConn) {
	g := gomega.NewWithT(t)
	li, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer li.Close()
	nc, err = dialer.New(time.Second).DialContext(context.Background(), "tcp", li.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = nc.Close() })
	accepted, err := li.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = accepted.Close() })
	return nc, accepted.(*net.TCPConn)
}

// writeEndlessly writes to a connection until that fails.
func writeEndlessly(nc net.Conn, done chan<- error) {
	part := make([]byte, 64<<10)
	for {
		if _, err := nc.Write(part); err != nil {
			done <- err
			return
		}
	}
}

// reset sends a part of an answer and resets the connection.
func reset(peer *net.TCPConn) error {
	_, err := io.WriteString(peer, answerPart)
	return errors.Join(err, peer.SetLinger(0), peer.Close())
}

// TestResetDuringWrite guards against the end of a connection that looks like an orderly one
// since a write was told that the connection was reset: the kernel reports that only once.
func TestResetDuringWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	nc, peer := connect(t)
	writeDone := make(chan error, 1)
	go writeEndlessly(nc, writeDone)
	g.Expect(reset(peer)).To(gomega.Succeed())
	g.Expect(<-writeDone).To(gomega.HaveOccurred())
	text, err := io.ReadAll(nc)
	g.Expect(err).To(gomega.HaveOccurred(), "%q is taken for all that the peer sent", text)
}

// TestResetWhileReadAndWritten is TestResetDuringWrite with a read that waits beside the write.
func TestResetWhileReadAndWritten(t *testing.T) {
	const connections = 300
	for range connections {
		nc, peer := connect(t)
		writeDone, readDone := make(chan error, 1), make(chan error, 1)
		go writeEndlessly(nc, writeDone)
		go func() {
			_, err := io.ReadAll(nc)
			readDone <- err
		}()
		g := gomega.NewWithT(t)
		g.Expect(reset(peer)).To(gomega.Succeed())
		g.Expect(<-readDone).To(gomega.HaveOccurred())
		g.Expect(<-writeDone).To(gomega.HaveOccurred())
	}
}

// TestOrderlyEndDuringWrite checks that a peer may end what it sends before it has read all:
// the reader gets io.EOF at once, also if the peer never reads on.
func TestOrderlyEndDuringWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	nc, peer := connect(t)
	writeDone := make(chan error, 1)
	go writeEndlessly(nc, writeDone)
	_, err := io.WriteString(peer, answerPart)
	g.Expect(errors.Join(err, peer.CloseWrite())).To(gomega.Succeed())
	g.Expect(nc.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	text, err := io.ReadAll(nc)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(text)).To(gomega.Equal(answerPart))
}

// TestOrderlyEndBeforeReset checks that what a peer has sent counts as whole if it has ended that in
// good order, although it resets the connection afterwards since it reads no more.
func TestOrderlyEndBeforeReset(t *testing.T) {
	g := gomega.NewWithT(t)
	nc, peer := connect(t)
	writeDone := make(chan error, 1)
	go writeEndlessly(nc, writeDone)
	_, err := io.WriteString(peer, answerPart)
	g.Expect(errors.Join(err, peer.CloseWrite(), peer.SetLinger(0), peer.Close())).To(gomega.Succeed())
	failure := <-writeDone
	text, err := io.ReadAll(nc)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the write ended with %v", failure)
	g.Expect(string(text)).To(gomega.Equal(answerPart))
}
