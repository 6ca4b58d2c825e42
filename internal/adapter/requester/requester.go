// Package requester makes JSON calls over HTTP. Its errors distinguish calls that
// certainly had no effect from calls that may have had one.
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
	"github.com/mulberrylever/mulberrylever/internal/adapter/validator"
)

// maxAnswerBytes bounds the body of a response.
const maxAnswerBytes = 64 << 20

// SourceIP is the local IP address of outgoing connections. Nil means any.
type SourceIP net.IP

// Dialer returns a dialer that connects from the source address.
func (so SourceIP) Dialer(timeout time.Duration) *dialer.Dialer {
	di := dialer.New(timeout)
	if so != nil {
		di.LocalAddr = &net.TCPAddr{IP: net.IP(so)}
	}
	return di
}

// NewClient returns an HTTP client that keeps connections to many peers open. It
// neither follows redirects nor adds retries.
func NewClient(so SourceIP, dialTimeout, headerTimeout time.Duration) *http.Client {
	di := so.Dialer(dialTimeout)
	return &http.Client{
		Transport: &validator.Transport{Transport: http.Transport{
			DialContext: di.DialContext, ResponseHeaderTimeout: headerTimeout,
			MaxIdleConns: 4096, MaxIdleConnsPerHost: 256, IdleConnTimeout: 90 * time.Second,
			DisableCompression: true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Requester makes JSON calls to one kind of peer.
type Requester struct {
	Client *http.Client
	Step   string // the Step of the errors that calls return
}

// Do sends in as JSON, unless it is nil, and decodes the response into out, unless
// that is nil. A status other than 2xx means that the peer has refused the call: Do
// then returns a *ml.Error with NotRun set.
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
		return re.wrap(address, IsDialError(err), err)
	}
	defer rs.Body.Close()
	if rs.StatusCode/100 != 2 {
		return re.wrapStatus(address, rs)
	}
	// To its end, which tells that the answer is whole, and so that the connection can be reused.
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes))
	if err == nil && out != nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return re.wrap(address, false, fmt.Errorf("read answer: %w", err))
	}
	return nil
}

func (re Requester) wrapStatus(address string, rs *http.Response) error {
	const maxTextBytes = 512
	text, _ := io.ReadAll(io.LimitReader(rs.Body, maxTextBytes))
	return re.wrap(address, true, &StatusError{Status: rs.StatusCode, Text: string(bytes.TrimSpace(text))})
}

func (re Requester) wrap(address string, notRun bool, err error) error {
	return &ml.Error{Type: ml.ErrUnavailable, Step: re.Step, Peer: address, NotRun: notRun, Err: err}
}

// StatusError is a response with an error status.
type StatusError struct {
	Status int
	Text   string
}

// Error implements the error interface.
func (se *StatusError) Error() string { return fmt.Sprintf("status %d: %s", se.Status, se.Text) }

// IsDialError reports whether a call failed before a connection was open, so that
// no byte of it was sent.
func IsDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// Status returns the HTTP status of a StatusError in err, or 0.
func Status(err error) int {
	var se *StatusError
	if errors.As(err, &se) {
		return se.Status
	}
	return 0
}
