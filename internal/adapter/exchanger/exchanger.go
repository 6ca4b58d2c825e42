// Package exchanger sends HTTP requests to endpoints over pooled connections. It
// sends each request at most once, on one connection, and its errors state whether
// any byte of the request may have arrived.
package exchanger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/dialer"
	"github.com/mulberrylever/mulberrylever/internal/adapter/validator"
	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
)

const (
	dialTimeout = 700 * time.Millisecond
	// maxWriteWait bounds the wait for the end of a request's writing after its
	// complete answer was read.
	maxWriteWait = 20 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 24
	// maxIDsPerConn bounds the requests of one connection, since it remembers their ids.
	maxIDsPerConn = 256
)

// Target is one incarnation of an endpoint. A connection to one target is never
// used for another.
type Target struct {
	Endpoint    ml.EndpointID
	Incarnation ml.Incarnation
	Address     string
}

// Request is a request to a target.
type Request struct {
	ID     string // that the answer repeats, which Match compares; empty if it has none
	Method string
	URI    string // path and query
	Host   string
	Header http.Header
	Body   []byte
	Match  func(http.Header) bool // reports whether an answer belongs to this request
	OnSent func()                 // called when the whole request has been written; may be nil
}

// Exchanger sends requests and pools connections. The zero value is ready to use.
type Exchanger struct {
	mu   sync.Mutex
	idle map[Target][]*conn

	// Bytes bounds what the heads of all answers hold. Nil means no bound.
	Bytes *bounder.Bounder
	// OnOpen is called for each new connection. It may be nil.
	OnOpen func()
}

// errNoConnection means that no connection could be opened.
var errNoConnection = errors.New("no connection")

// Do sends a request and returns once the head of the answer has arrived. The
// answer's Close must be called. On an error, NotRun states that no byte of the
// request was sent.
func (ex *Exchanger) Do(ctx context.Context, ta Target, rq *Request) (*ml.Answer, error) {
	hr, err := rq.httpRequest()
	if err != nil {
		return nil, ex.wrap(ta, true, err)
	}
	co, err := ex.acquire(ctx, ta, rq.ID)
	if err != nil {
		return nil, ex.wrap(ta, true, err)
	}
	co.message = ex.Bytes.Open(string(ta.Endpoint))
	stop := co.interruptOn(ctx)
	writeDone := make(chan error, 1)
	go co.writeRequest(hr, rq.OnSent, writeDone)
	rs, err := co.readAnswer(hr, rq.Match) //nolint:bodyclose // closed with the connection or by the answer's Close
	if err != nil {
		stop()
		ex.discard(co)
		err = firstError(ctx.Err(), <-writeDone, err)
		return nil, ex.wrap(ta, co.bytesWritten.Load() == 0, err)
	}
	return ex.newAnswer(ta, co, rs, stop, writeDone), nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (ex *Exchanger) newAnswer(ta Target, co *conn, rs *http.Response, stop func() bool, writeDone <-chan error) *ml.Answer {
	bo := &body{Reader: &validator.Body{ReadCloser: rs.Body, Answer: rs}, reachedEnd: rs.ContentLength == 0}
	once := sync.Once{}
	return &ml.Answer{
		Status: rs.StatusCode, Header: rs.Header, Length: rs.ContentLength, Body: bo,
		Unframed: rs.ContentLength < 0 && len(rs.TransferEncoding) == 0,
		Close: func() {
			once.Do(func() {
				if stop() && bo.reachedEnd && !rs.Close && requestWritten(writeDone) {
					ex.release(ta, co, idleTimeout(rs.Header))
					return
				}
				ex.discard(co)
			})
		},
	}
}

// requestWritten reports whether the whole request was written without an error.
// That is so when the endpoint answered after it had read the request.
func requestWritten(writeDone <-chan error) bool {
	ti := time.NewTimer(maxWriteWait)
	defer ti.Stop()
	select {
	case err := <-writeDone:
		return err == nil
	case <-ti.C:
		return false
	}
}

// acquire returns an idle connection that is still usable, or a new one. An endpoint may
// write an earlier answer once more, so a connection carries no id twice.
func (ex *Exchanger) acquire(ctx context.Context, ta Target, id string) (*conn, error) {
	for co := ex.popIdle(ta, id); co != nil; co = ex.popIdle(ta, id) {
		if time.Now().Before(co.expiresAt) && co.isIdle() {
			co.bytesWritten.Store(0)
			_ = co.SetDeadline(time.Time{})
			co.recordID(id)
			return co, nil
		}
		ex.discard(co)
	}
	co, err := ex.open(ctx, ta)
	if err == nil {
		co.recordID(id)
	}
	return co, err
}

// open opens a connection.
func (ex *Exchanger) open(ctx context.Context, ta Target) (*conn, error) {
	nc, err := dialer.New(dialTimeout).DialContext(ctx, "tcp", ta.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoConnection, err)
	}
	if ex.OnOpen != nil {
		ex.OnOpen()
	}
	return newConn(nc), nil
}

// Connect opens a connection, which is kept for the next request, and reports how that
// ended.
func (ex *Exchanger) Connect(ctx context.Context, ta Target) ml.ConnectResult {
	co, err := ex.open(ctx, ta)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ml.ConnectRefused
	case err != nil:
		return ml.ConnectFailed
	}
	ex.release(ta, co, defaultIdleTimeout)
	return ml.ConnectOpened
}

// popIdle returns the idle connection that was used last, of those that have not carried an
// id, or nil.
func (ex *Exchanger) popIdle(ta Target, id string) *conn {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	all := ex.idle[ta]
	for i := len(all) - 1; i >= 0; i-- {
		if co := all[i]; !co.hasCarried(id) {
			ex.idle[ta] = slices.Delete(all, i, i+1)
			return co
		}
	}
	return nil
}

// release returns a connection to the pool, to be kept idle for the given time.
func (ex *Exchanger) release(ta Target, co *conn, keep time.Duration) {
	co.message.Close()
	co.expiresAt = time.Now().Add(keep)
	ex.mu.Lock()
	if keep <= 0 || len(co.carried) >= maxIDsPerConn || len(ex.idle[ta]) >= maxIdlePerTarget || co.reader.Buffered() > 0 {
		ex.mu.Unlock()
		ex.discard(co)
		return
	}
	if ex.idle == nil {
		ex.idle = make(map[Target][]*conn)
	}
	ex.idle[ta] = append(ex.idle[ta], co)
	ex.mu.Unlock()
}

// discard closes a connection. The error is ignored, since the connection may have
// been closed already.
func (ex *Exchanger) discard(co *conn) {
	co.message.Close()
	_ = co.Close()
}

// Sweep closes the idle connections that have expired and those to targets that are
// no longer wanted.
func (ex *Exchanger) Sweep(now time.Time, wanted func(Target) bool) {
	for _, co := range ex.removeExpired(now, wanted) {
		ex.discard(co)
	}
}

// removeExpired removes the connections that Sweep closes from the pool.
func (ex *Exchanger) removeExpired(now time.Time, wanted func(Target) bool) []*conn {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	out := []*conn{}
	for ta, all := range ex.idle {
		keep := all[:0]
		for _, co := range all {
			if now.Before(co.expiresAt) && wanted(ta) {
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

func (ex *Exchanger) wrap(ta Target, notRun bool, err error) error {
	return &ml.Error{Type: ml.ErrEndpointFailed, Step: "exchange", Peer: string(ta.Endpoint), NotRun: notRun, Err: err}
}

// IsDialError reports whether err means that no connection could be opened.
func IsDialError(err error) bool { return errors.Is(err, errNoConnection) }

// httpRequest returns the request for net/http's encoder, with the path exactly as
// the caller sent it.
func (rq *Request) httpRequest() (*http.Request, error) {
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
		rq.Header["User-Agent"] = nil // so that net/http adds none of its own
	}
	if len(rq.Body) > 0 {
		hr.ContentLength = int64(len(rq.Body))
		hr.Body = io.NopCloser(bytes.NewReader(rq.Body))
	}
	return hr, nil
}
