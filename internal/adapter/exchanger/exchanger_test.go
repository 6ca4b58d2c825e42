package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/exchanger"
)

// peer is an endpoint that answers each request of a connection with the next
// of its texts, and closes the connection after the last.
type peer struct {
	li    net.Listener
	conns chan []string // the requests of each connection that has ended
}

func newPeer(t *testing.T, texts ...string) *peer {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pe := &peer{li: li, conns: make(chan []string, 10)}
	t.Cleanup(func() { _ = li.Close() })
	go func() {
		for {
			nc, err := li.Accept()
			if err != nil {
				return
			}
			go pe.serve(nc, texts)
		}
	}()
	return pe
}

func (pe *peer) serve(nc net.Conn, texts []string) {
	in := bufio.NewReader(nc)
	seen := []string{}
	for _, text := range texts {
		rq, err := http.ReadRequest(in)
		if err != nil {
			break
		}
		body, _ := io.ReadAll(rq.Body)
		seen = append(seen, rq.Method+" "+rq.RequestURI+" "+string(body))
		_, _ = io.WriteString(nc, text)
	}
	_ = nc.Close()
	pe.conns <- seen
}

func (pe *peer) target() exchanger.Target {
	return exchanger.Target{Endpoint: "e", Incarnation: "1", Address: pe.li.Addr().String()}
}

func do(ex *exchanger.Exchanger, ta exchanger.Target, uri string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	an, err := ex.Do(ctx, ta, &exchanger.Request{
		Method: "POST", URI: uri, Host: "h", Header: http.Header{}, Body: []byte("body"),
		Match: func(he http.Header) bool { return he.Get("Id") != "other" },
	})
	if err != nil {
		return "", err
	}
	defer an.Close()
	body, err := io.ReadAll(an.Body)
	return string(body), err
}

const (
	good    = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	other   = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nevil"
	chunked = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	torn    = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	short   = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nok"
	unknown = "HTTP/1.1 200 OK\r\nId: a\r\n\r\nok" // ends with the connection
)

// TestKept checks that a connection carries one request after the other, and
// that the path goes out as it came.
func TestKept(t *testing.T) {
	g := gomega.NewWithT(t)
	pe := newPeer(t, good, chunked, "HTTP/1.1 100 Continue\r\n\r\n"+good)
	ex := &exchanger.Exchanger{}
	for _, uri := range []string{"/a%2Fb?x=%20&y", "//two/", "/c"} {
		body, err := do(ex, pe.target(), uri)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("ok"))
	}
	g.Expect(<-pe.conns).To(gomega.Equal([]string{"POST /a%2Fb?x=%20&y body", "POST //two/ body", "POST /c body"}))
}

// TestSpoilt checks what an endpoint may do wrong: nothing of it is taken for a
// whole answer, reaches another request, or lets the connection be used again.
func TestSpoilt(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		body       string
		whole      bool
	}{
		{"surplus bytes", good + "more", "ok", true},
		{"a second answer", good + other, "ok", true},
		{"another's answer first", other + good, "ok", true},
		{"torn", torn, "ok", false},
		{"too short", short, "ok", false},
		{"without a length", unknown, "ok", true},
		{"no answer", "", "", false},
		{"no protocol", "hello\r\n\r\n", "", false},
	} {
		g := gomega.NewWithT(t)
		pe := newPeer(t, tc.text)
		ex := &exchanger.Exchanger{}
		body, err := do(ex, pe.target(), "/x")
		g.Expect(err == nil).To(gomega.Equal(tc.whole), "%s: %v", tc.name, err)
		g.Expect(body).To(gomega.Equal(tc.body), tc.name)
		if err != nil && body == "" {
			var er *ml.Error
			g.Expect(errors.As(err, &er)).To(gomega.BeTrue())
			g.Expect(er.NotRun).To(gomega.BeFalse(), "%s: the request had gone out", tc.name)
		}
		g.Expect(<-pe.conns).To(gomega.Equal([]string{"POST /x body"}), tc.name)
		body, _ = do(ex, pe.target(), "/y")
		g.Expect(body).To(gomega.Equal(tc.body), "%s: the next request, on a connection of its own", tc.name)
	}
}

// TestClosedWhileIdle checks that a connection which the endpoint has closed, or
// on which bytes came that nobody asked for, is not used again.
func TestClosedWhileIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	pe := newPeer(t, good) // closes after one answer
	ex := &exchanger.Exchanger{}
	for range 3 {
		_, err := do(ex, pe.target(), "/x")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		<-pe.conns // it has closed
	}
}

// TestUnreachable checks that a failed dial counts as not run, and a caller that
// leaves ends the exchange.
func TestUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	ex := &exchanger.Exchanger{}
	_, err := do(ex, exchanger.Target{Endpoint: "e", Address: "127.0.0.1:1"}, "/x")
	var er *ml.Error
	g.Expect(errors.As(err, &er)).To(gomega.BeTrue())
	g.Expect(er.NotRun).To(gomega.BeTrue())
	g.Expect(exchanger.Undialled(err)).To(gomega.BeTrue())

	li, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer li.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	_, err = ex.Do(ctx, exchanger.Target{Endpoint: "e", Address: li.Addr().String()}, &exchanger.Request{
		Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Match: func(http.Header) bool { return true },
	})
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
}

// FuzzAnswer checks that no bytes of an endpoint make an exchange fail
// otherwise than by an error.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{good, other, chunked, torn, short, unknown, strings.Repeat("\r\n", 5)} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		pe := newPeer(t, string(text))
		body, err := do(&exchanger.Exchanger{}, pe.target(), "/x")
		if err == nil && len(body) > len(text) {
			t.Fatalf("read %d bytes of %d", len(body), len(text))
		}
	})
}
