// Package invoker reaches plain services over HTTP.
package invoker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
)

// maxAnswer bounds a service's answer in bytes.
const maxAnswer = 4 << 20

// Invoker implements ml.Service.
type Invoker struct {
	client *http.Client
	once   *http.Client // a new connection for each call
}

// New returns a client of services.
func New(so requester.SourceIP) *Invoker {
	const dial, answer = time.Second, 15 * time.Minute
	once := requester.NewClient(so, dial, answer)
	// net/http sends a request that carries an Idempotency-Key a second time
	// when a kept connection breaks. On a new connection it never does.
	once.Transport.(*http.Transport).DisableKeepAlives = true
	return &Invoker{client: requester.NewClient(so, dial, answer), once: once}
}

// hopHeaders are meant for one connection only and not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization",
}

// Call implements ml.Service.
func (in *Invoker) Call(ctx context.Context, ep ml.Endpoint, sc ml.ServiceCall) (ml.ServiceAnswer, error) {
	rq, err := http.NewRequestWithContext(ctx, sc.Method, "http://"+ep.Address+sc.Path, bytes.NewReader(sc.Body))
	if err != nil {
		return ml.ServiceAnswer{}, in.wrap(ep, true, err)
	}
	rq.Header = Forwarded(sc.Header)
	client := in.client
	if sc.Key != "" {
		client = in.once
		rq.GetBody = nil
		rq.Header.Set("Idempotency-Key", string(sc.Key))
	}
	rs, err := client.Do(rq)
	if err != nil {
		return ml.ServiceAnswer{}, in.wrap(ep, requester.Undialled(err), err)
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswer+1))
	if err != nil {
		return ml.ServiceAnswer{}, in.wrap(ep, false, fmt.Errorf("read answer: %w", err))
	}
	if len(body) > maxAnswer {
		return ml.ServiceAnswer{}, in.wrap(ep, false, fmt.Errorf("the answer is larger than %d bytes", maxAnswer))
	}
	return ml.ServiceAnswer{Status: rs.StatusCode, Header: Forwarded(rs.Header), Body: body}, nil
}

// Forwarded returns the headers that are passed on.
func Forwarded(he http.Header) http.Header {
	out := he.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, name := range strings.Split(he.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

func (in *Invoker) wrap(ep ml.Endpoint, notRun bool, err error) error {
	return &ml.Error{Type: ml.ErrEndpointFailed, Step: "call service", Peer: string(ep.ID), NotRun: notRun, Err: err}
}
