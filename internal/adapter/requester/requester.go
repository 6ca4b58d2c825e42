// Package requester makes JSON calls over HTTP and tells errors before the
// call from errors after it may have had an effect.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/dialer"
)

// maxAnswer bounds an answer in bytes.
const maxAnswer = 64 << 20

// SourceIP is the IP number that connections are made from; nil for any.
type SourceIP net.IP

// Dialer returns a dialer from the source.
func (so SourceIP) Dialer(timeout time.Duration) *net.Dialer {
	di := dialer.New(timeout)
	if so != nil {
		di.LocalAddr = &net.TCPAddr{IP: net.IP(so)}
	}
	return di
}

// NewClient returns an HTTP client that keeps connections to many peers.
// Redirects are not followed and requests are never repeated by the client.
func NewClient(so SourceIP, dialTimeout, headerTimeout time.Duration) *http.Client {
	di := so.Dialer(dialTimeout)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: di.DialContext, ResponseHeaderTimeout: headerTimeout,
			MaxIdleConns: 4096, MaxIdleConnsPerHost: 256, IdleConnTimeout: 90 * time.Second,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Requester makes calls to one kind of peer.
type Requester struct {
	Client *http.Client
	Step   string // names the calls in errors
}

// Do sends in as JSON, unless it is nil, and reads the answer into out, unless
// that is nil. An answer with another status than 2xx is a *ml.Error with
// NotRun set: the peer has refused.
func (re Requester) Do(ctx context.Context, method, address, path string, in, out any) error {
	body := io.Reader(http.NoBody)
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return re.wrap(address, true, err)
		}
		body = bytes.NewReader(data)
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return re.wrap(address, true, err)
	}
	rq.Header.Set("Content-Type", "application/json")
	rs, err := re.Client.Do(rq)
	if err != nil {
		return re.wrap(address, Undialled(err), err)
	}
	defer rs.Body.Close()
	if rs.StatusCode/100 != 2 {
		return re.refused(address, rs)
	}
	if out == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(rs.Body, maxAnswer))
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswer)) // to its end, so that the connection is kept
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return re.wrap(address, false, fmt.Errorf("read answer: %w", err))
	}
	return nil
}

func (re Requester) refused(address string, rs *http.Response) error {
	const maxText = 512
	text, _ := io.ReadAll(io.LimitReader(rs.Body, maxText))
	return re.wrap(address, true, &StatusError{Status: rs.StatusCode, Text: string(bytes.TrimSpace(text))})
}

func (re Requester) wrap(address string, notRun bool, err error) error {
	return &ml.Error{Type: ml.ErrUnavailable, Step: re.Step, Peer: address, NotRun: notRun, Err: err}
}

// StatusError is an answer with a status that means failure.
type StatusError struct {
	Status int
	Text   string
}

// Error implements the error interface.
func (se *StatusError) Error() string { return fmt.Sprintf("status %d: %s", se.Status, se.Text) }

// Undialled tells whether a call failed before a connection was there, so that
// no byte of it can have left.
func Undialled(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// Status returns the status of a refusal, or 0.
func Status(err error) int {
	var se *StatusError
	if errors.As(err, &se) {
		return se.Status
	}
	return 0
}
