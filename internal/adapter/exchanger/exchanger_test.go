package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/exchanger"
)

// peer is an endpoint that replies to each request of a connection with the next
// of its answers, and closes the connection after the last.
type peer struct {
	li    net.Listener
	conns chan []string // receives the requests of each connection once it has ended
}

func newPeer(t *testing.T, answers ...string) *peer {
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
			go pe.serve(nc, answers)
		}
	}()
	return pe
}

func (pe *peer) serve(nc net.Conn, answers []string) {
	reader := bufio.NewReader(nc)
	requests := []string{}
	for _, answer := range answers {
		rq, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		body, _ := io.ReadAll(rq.Body)
		requests = append(requests, rq.Method+" "+rq.RequestURI+" "+string(body))
		_, _ = io.WriteString(nc, answer)
	}
	_ = nc.Close()
	pe.conns <- requests
}

func (pe *peer) target() exchanger.Target {
	return exchanger.Target{Endpoint: "e", Incarnation: "1", Address: pe.li.Addr().String()}
}

func do(ex *exchanger.Exchanger, ta exchanger.Target, uri string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	an, err := ex.Do(ctx, ta, &exchanger.Request{
		ID: uri, Method: "POST", URI: uri, Host: "h", Header: http.Header{}, Body: []byte("body"),
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
	good             = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	stray            = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nevil"
	chunked          = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	truncatedChunked = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	truncatedBody    = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nok"
	unknownLength    = "HTTP/1.1 200 OK\r\nId: a\r\n\r\nok" // the body ends with the connection
)

// TestConnectionReuse checks that consecutive requests share one connection, and
// that paths are sent unchanged.
func TestConnectionReuse(t *testing.T) {
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

// TestMalformedAnswers checks answers that are malformed, truncated or followed by
// other bytes. An incomplete answer must be an error, no byte may reach another
// request, and the connection must not be reused.
func TestMalformedAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		body       string
		complete   bool
	}{
		{"extra bytes after the answer", good + "more", "ok", true},
		{"a second answer", good + stray, "ok", true},
		{"an answer to another request first", stray + good, "ok", true},
		{"truncated chunked body", truncatedChunked, "ok", false},
		{"body shorter than its Content-Length", truncatedBody, "ok", false},
		{"no Content-Length", unknownLength, "ok", true},
		{"no answer", "", "", false},
		{"not HTTP", "hello\r\n\r\n", "", false},
	} {
		g := gomega.NewWithT(t)
		pe := newPeer(t, tc.text)
		ex := &exchanger.Exchanger{}
		body, err := do(ex, pe.target(), "/x")
		g.Expect(err == nil).To(gomega.Equal(tc.complete), "%s: %v", tc.name, err)
		g.Expect(body).To(gomega.Equal(tc.body), tc.name)
		if err != nil && body == "" {
			var er *ml.Error
			g.Expect(errors.As(err, &er)).To(gomega.BeTrue())
			g.Expect(er.NotRun).To(gomega.BeFalse(), "%s: the request was sent", tc.name)
		}
		g.Expect(<-pe.conns).To(gomega.Equal([]string{"POST /x body"}), tc.name)
		body, _ = do(ex, pe.target(), "/y")
		g.Expect(body).To(gomega.Equal(tc.body), "%s: the next request must use a new connection", tc.name)
	}
}

// TestClosedWhileIdle checks that a connection that the endpoint has closed while
// it was idle is not used again.
func TestClosedWhileIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	pe := newPeer(t, good) // closes after one answer
	ex := &exchanger.Exchanger{}
	for range 3 {
		_, err := do(ex, pe.target(), "/x")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		<-pe.conns // the endpoint has closed the connection
	}
}

// TestUnreachable checks that a failed dial is reported as not run, and that an
// exchange without an answer ends when its context is cancelled.
func TestUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	ex := &exchanger.Exchanger{}
	_, err := do(ex, exchanger.Target{Endpoint: "e", Address: "127.0.0.1:1"}, "/x")
	var er *ml.Error
	g.Expect(errors.As(err, &er)).To(gomega.BeTrue())
	g.Expect(er.NotRun).To(gomega.BeTrue())
	g.Expect(exchanger.IsDialError(err)).To(gomega.BeTrue())

	li, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer li.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	startedAt := time.Now()
	_, err = ex.Do(ctx, exchanger.Target{Endpoint: "e", Address: li.Addr().String()}, &exchanger.Request{
		Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Match: func(http.Header) bool { return true },
	})
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", 2*time.Second))
}

// FuzzAnswer sends arbitrary bytes as an endpoint's answer. An exchange must return
// an error or a body that is not longer than these bytes.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{good, stray, chunked, truncatedChunked, truncatedBody, unknownLength, strings.Repeat("\r\n", 5)} {
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

// endlessPeer is an endpoint that replies to each request with a prefix and then
// repeats a text until the connection is closed.
type endlessPeer struct {
	li      net.Listener
	written atomic.Int64 // bytes
}

func newEndlessPeer(t *testing.T, prefix, repeated string) *endlessPeer {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ep := &endlessPeer{li: li}
	t.Cleanup(func() { _ = li.Close() })
	go ep.run(prefix, []byte(strings.Repeat(repeated, 1+(32<<10)/len(repeated))))
	return ep
}

func (ep *endlessPeer) run(prefix string, repeated []byte) {
	for {
		nc, err := ep.li.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			continue
		}
		_, err = io.WriteString(nc, prefix)
		for n := 0; err == nil; {
			n, err = nc.Write(repeated)
			ep.written.Add(int64(n))
		}
		_ = nc.Close()
	}
}

// TestHeadWithoutEnd guards against an endpoint whose head never ends: it is given up
// soon, and what it sends is not kept in memory.
func TestHeadWithoutEnd(t *testing.T) {
	const maxTaken = 32 << 20 // bytes, with what the buffers of the sockets hold
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
	for name, tc := range map[string]struct{ prefix, repeated string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"no protocol":       {"", "\x00\xff"},
		"one header":        {head + "Long: ", "x"},
		"headers":           {head, "More: x\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"other's responses": {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nxx"},
	} {
		t.Run(name, func(t *testing.T) {
			ep, ex := newEndlessPeer(t, tc.prefix, tc.repeated), &exchanger.Exchanger{}
			_, err := do(ex, exchanger.Target{Endpoint: "e", Incarnation: "1", Address: ep.li.Addr().String()}, "/a")
			g := gomega.NewWithT(t)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(err).NotTo(gomega.MatchError(context.DeadlineExceeded), "given up before the deadline")
			g.Expect(ep.written.Load()).To(gomega.BeNumerically("<", maxTaken))
		})
	}
}

// exchange sends a request with an id and returns the body of the answer with this id, or
// without one if it is empty.
func exchange(ex *exchanger.Exchanger, ta exchanger.Target, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	an, err := ex.Do(ctx, ta, &exchanger.Request{
		ID: id, Method: "POST", URI: "/" + id, Host: "h", Header: http.Header{},
		Match: func(he http.Header) bool { return he.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer an.Close()
	body, err := io.ReadAll(an.Body)
	return string(body), err
}

// answerWith returns an answer with an id and a body.
func answerWith(id, body string) string {
	head := ""
	if id != "" {
		head = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// TestEarlierAnswerOnceMore guards against an earlier answer that a faulty endpoint writes
// once more on a kept connection, and that is taken for the answer to a later request: the
// same one sent again, or one whose answers carry no id.
func TestEarlierAnswerOnceMore(t *testing.T) {
	for _, id := range []string{"a", ""} {
		t.Run(id, func(t *testing.T) {
			g := gomega.NewWithT(t)
			refused := answerWith(id, "refused")
			pe := newPeer(t, refused, answerWith("b", "done"), refused+answerWith(id, "done"))
			ex := &exchanger.Exchanger{}
			body, err := exchange(ex, pe.target(), id)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("refused"))
			body, err = exchange(ex, pe.target(), "b")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("done"), "on the same connection")
			_, err = exchange(ex, pe.target(), id)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "on a new connection, with its first answer")
			ex.Sweep(time.Now(), func(exchanger.Target) bool { return false })
			g.Eventually(pe.conns, "5s").Should(gomega.HaveLen(2), "connections")
			all := [][]string{<-pe.conns, <-pe.conns}
			g.Expect(all).To(gomega.ConsistOf([]string{"POST /" + id + " ", "POST /b "}, []string{"POST /" + id + " "}))
		})
	}
}

// TestHeadCutAnywhere checks that no part of an answer's head, wherever it ends, passes for an
// answer, whether its body has a length, chunks or neither.
func TestHeadCutAnywhere(t *testing.T) {
	for _, whole := range []string{good, chunked, unknownLength} {
		head := whole[:strings.Index(whole, "\r\n\r\n")+len("\r\n\r\n")]
		for n := range len(head) {
			pe := newPeer(t, head[:n])
			if body, err := do(&exchanger.Exchanger{}, pe.target(), "/"); err == nil {
				t.Fatalf("the head %q is taken for an answer with the body %q", head[:n], body)
			}
			_ = pe.li.Close()
		}
	}
}

// TestBrokenAnswerToAnotherRequest guards against a broken answer that is skipped since it belongs
// to another request: where it ends, and so where the next one begins, is unknown.
func TestBrokenAnswerToAnotherRequest(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: other\r\n"
	for _, tc := range []struct {
		name, text string
		isSound    bool
	}{
		{"sound", stray, true},
		{"sound trailer", other + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Odd: 1\r\n\r\n", true},
		{"status", "HTTP/1.1 000\r\nId: other\r\nContent-Length: 0\r\n\r\n", false},
		{"name in the head", other + "X Odd: 1\r\nContent-Length: 0\r\n\r\n", false},
		{"line with a blank first", other + " X-Odd: 1\r\nContent-Length: 0\r\n\r\n", false},
		{"name in the trailer", other + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX Odd: 1\r\n\r\n", false},
		{"no length", other + "\r\n", false},
		{"name in an interim head", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body, err := do(&exchanger.Exchanger{}, newPeer(t, tc.text+good).target(), "/x")
			g := gomega.NewWithT(t)
			g.Expect(err == nil).To(gomega.Equal(tc.isSound), "%q, %v", body, err)
		})
	}
}

// TestUnaskedAnswerToConnect checks that a health check, which only opens a connection, takes no
// answer, and leaves none on that connection for the next request.
func TestUnaskedAnswerToConnect(t *testing.T) {
	g := gomega.NewWithT(t)
	li, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer li.Close()
	ex, ta := &exchanger.Exchanger{}, exchanger.Target{Endpoint: "e", Incarnation: "1", Address: li.Addr().String()}
	g.Expect(ex.Connect(t.Context(), ta)).To(gomega.Equal(ml.ConnectOpened))
	checked, err := li.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer checked.Close()
	_, err = io.WriteString(checked, good)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() {
		if nc, err := li.Accept(); err == nil {
			_, _ = io.WriteString(nc, strings.Replace(good, "ok", "no", 1))
			_, _ = io.Copy(io.Discard, nc)
		}
	}()
	body, err := do(ex, ta, "/x")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("no"), "on a new connection")
}
