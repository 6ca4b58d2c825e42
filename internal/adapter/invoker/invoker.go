// Package invoker is the client of plain services. It makes one HTTP request for
// each call.
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
	"github.com/mulberrylever/mulberrylever/internal/adapter/validator"
)

// maxAnswerBytes bounds the body of a service's response.
const maxAnswerBytes = 4 << 20

// Invoker implements ml.Service.
type Invoker struct {
	client    *http.Client
	singleUse *http.Client // opens a new connection for each call
}

// New returns a client of services. It connects from the given source address.
func New(so requester.SourceIP) *Invoker {
	const dialTimeout, headerTimeout = time.Second, 15 * time.Minute
	singleUse := requester.NewClient(so, dialTimeout, headerTimeout)
	// net/http repeats a request with an Idempotency-Key when a reused connection
	// breaks. On a new connection it never does.
	singleUse.Transport.(*validator.Transport).DisableKeepAlives = true
	return &Invoker{client: requester.NewClient(so, dialTimeout, headerTimeout), singleUse: singleUse}
}

// droppedHeaders are meant for one connection only and are not forwarded.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization",
}

// Call implements ml.Service.
func (in *Invoker) Call(ctx context.Context, ep ml.Endpoint, sc ml.ServiceCall) (ml.ServiceAnswer, error) {
	rq, err := http.NewRequestWithContext(ctx, sc.Method, "http://"+ep.Address+sc.Path, bytes.NewReader(sc.Body))
	if err != nil {
		return ml.ServiceAnswer{}, in.wrap(ep, true, err)
	}
	rq.Header = ForwardableHeaders(sc.Header)
	client := in.client
	if sc.Key != "" {
		client = in.singleUse
		rq.GetBody = nil
		rq.Header.Set("Idempotency-Key", string(sc.Key))
	}
	rs, err := client.Do(rq)
	if err != nil {
		return ml.ServiceAnswer{}, in.wrap(ep, requester.IsDialError(err), err)
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes+1))
	if err != nil {
		return ml.ServiceAnswer{}, in.wrap(ep, false, fmt.Errorf("read answer: %w", err))
	}
	if len(body) > maxAnswerBytes {
		return ml.ServiceAnswer{}, in.wrap(ep, false, fmt.Errorf("the answer is larger than %d bytes", maxAnswerBytes))
	}
	return ml.ServiceAnswer{Status: rs.StatusCode, Header: ForwardableHeaders(rs.Header), Body: body}, nil
}

// ForwardableHeaders returns a copy of the headers without those that concern only
// one connection and without Content-Length.
func ForwardableHeaders(he http.Header) http.Header {
	out := he.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, name := range strings.Split(he.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range droppedHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

func (in *Invoker) wrap(ep ml.Endpoint, notRun bool, err error) error {
	return &ml.Error{Type: ml.ErrEndpointFailed, Step: "call service", Peer: string(ep.ID), NotRun: notRun, Err: err}
}
