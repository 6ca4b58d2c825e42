// Package exchanger passes HTTP requests to endpoints over kept connections.
// Nothing is ever sent twice: each request goes out on one connection, and an
// error tells whether any of it can have arrived.
package exchanger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/dialer"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 700 * time.Millisecond
	// writeGrace is how long the end of a request's writing is waited for when
	// its whole answer has come.
	writeGrace = 20 * time.Millisecond
	// maxIdle is the number of idle connections kept to one endpoint.
	maxIdle = 24
)

// Target is one life of one endpoint. Connections are never used for another.
type Target struct {
	Endpoint    ml.EndpointID
	Incarnation ml.Incarnation
	Address     string
}

// Request is what is sent to a target.
type Request struct {
	Method string
	URI    string // path and query
	Host   string
	Header http.Header
	Body   []byte
	Match  func(http.Header) bool // tells whether an answer is the one to this request
}

// Exchanger keeps the connections. The zero value is ready.
type Exchanger struct {
	mu   sync.Mutex
	idle map[Target][]*conn

	// OnOpen is called for each new connection; nil for nothing.
	OnOpen func()
}

// errNoConnection means that no connection could be opened.
var errNoConnection = errors.New("no connection")

// Do sends a request and returns once the head of the answer has come. The
// answer's Close must be called. On an error, NotRun tells that no byte of the
// request has left.
func (ex *Exchanger) Do(ctx context.Context, ta Target, rq *Request) (*ml.Answer, error) {
	hr, err := rq.http()
	if err != nil {
		return nil, ex.failed(ta, true, err)
	}
	co, err := ex.take(ctx, ta)
	if err != nil {
		return nil, ex.failed(ta, true, err)
	}
	stop := co.cutOn(ctx)
	wrote := make(chan error, 1)
	go co.runWrite(hr, wrote)
	rs, err := co.readAnswer(hr, rq.Match) //nolint:bodyclose // ends with the connection or the answer's Close
	if err != nil {
		stop()
		ex.drop(co)
		err = cmpErr(ctx.Err(), <-wrote, err)
		return nil, ex.failed(ta, co.written.Load() == 0, err)
	}
	return ex.answer(ta, co, rs, stop, wrote), nil
}

// cmpErr returns the first error that is set.
func cmpErr(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (ex *Exchanger) answer(ta Target, co *conn, rs *http.Response, stop func() bool, wrote <-chan error) *ml.Answer {
	bo := &body{Reader: rs.Body, ended: rs.ContentLength == 0}
	once := sync.Once{}
	return &ml.Answer{
		Status: rs.StatusCode, Header: rs.Header, Length: rs.ContentLength, Body: bo,
		Close: func() {
			once.Do(func() {
				if stop() && bo.ended && !rs.Close && sent(wrote) {
					ex.put(ta, co, keepFor(rs.Header))
					return
				}
				ex.drop(co)
			})
		},
	}
}

// sent tells whether the whole request has been written, as it has been when an
// endpoint answers after it has read it.
func sent(wrote <-chan error) bool {
	ti := time.NewTimer(writeGrace)
	defer ti.Stop()
	select {
	case err := <-wrote:
		return err == nil
	case <-ti.C:
		return false
	}
}

// take returns a kept connection that is still usable, or a new one.
func (ex *Exchanger) take(ctx context.Context, ta Target) (*conn, error) {
	for co := ex.pop(ta); co != nil; co = ex.pop(ta) {
		if time.Now().Before(co.expires) && co.idle() {
			co.written.Store(0)
			_ = co.SetDeadline(time.Time{})
			return co, nil
		}
		ex.drop(co)
	}
	nc, err := dialer.New(dialTimeout).DialContext(ctx, "tcp", ta.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoConnection, err)
	}
	if ex.OnOpen != nil {
		ex.OnOpen()
	}
	return newConn(nc), nil
}

func (ex *Exchanger) pop(ta Target) *conn {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	all := ex.idle[ta]
	if len(all) == 0 {
		return nil
	}
	co := all[len(all)-1]
	ex.idle[ta] = all[:len(all)-1]
	return co
}

func (ex *Exchanger) put(ta Target, co *conn, keep time.Duration) {
	co.expires = time.Now().Add(keep)
	ex.mu.Lock()
	if keep <= 0 || len(ex.idle[ta]) >= maxIdle || co.in.Buffered() > 0 {
		ex.mu.Unlock()
		ex.drop(co)
		return
	}
	if ex.idle == nil {
		ex.idle = make(map[Target][]*conn)
	}
	ex.idle[ta] = append(ex.idle[ta], co)
	ex.mu.Unlock()
}

// drop closes a connection. That it may have been closed already is of no
// interest.
func (ex *Exchanger) drop(co *conn) { _ = co.Close() }

// Sweep closes idle connections that have expired, and all to targets that
// are not wanted any more.
func (ex *Exchanger) Sweep(now time.Time, wanted func(Target) bool) {
	for _, co := range ex.expired(now, wanted) {
		ex.drop(co)
	}
}

func (ex *Exchanger) expired(now time.Time, wanted func(Target) bool) []*conn {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	out := []*conn{}
	for ta, all := range ex.idle {
		keep := all[:0]
		for _, co := range all {
			if now.Before(co.expires) && wanted(ta) {
				keep = append(keep, co)
				continue
			}
			out = append(out, co)
		}
		ex.idle[ta] = keep
		if len(keep) == 0 {
			delete(ex.idle, ta)
		}
	}
	return out
}

func (ex *Exchanger) failed(ta Target, notRun bool, err error) error {
	return &ml.Error{Type: ml.ErrEndpointFailed, Step: "exchange", Peer: string(ta.Endpoint), NotRun: notRun, Err: err}
}

// Undialled tells whether err means that no connection could be opened.
func Undialled(err error) bool { return errors.Is(err, errNoConnection) }

// http returns the request for net/http's encoder, with the path exactly as
// the caller sent it.
func (rq *Request) http() (*http.Request, error) {
	ur := &url.URL{Opaque: rq.URI}
	if strings.HasPrefix(rq.URI, "//") || !strings.HasPrefix(rq.URI, "/") {
		parsed, err := url.ParseRequestURI(rq.URI)
		if err != nil {
			return nil, fmt.Errorf("path %q: %w", rq.URI, err)
		}
		ur = parsed
	}
	hr := &http.Request{Method: rq.Method, URL: ur, Host: rq.Host, Header: rq.Header, ProtoMajor: 1, ProtoMinor: 1}
	if _, set := rq.Header["User-Agent"]; !set {
		rq.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	if len(rq.Body) > 0 {
		hr.ContentLength = int64(len(rq.Body))
		hr.Body = io.NopCloser(bytes.NewReader(rq.Body))
	}
	return hr, nil
}
