// Package appender reaches the platform's log service.
package appender

import (
	"context"
	"fmt"
	"net/http"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
)

// Appender implements ml.Log.
type Appender struct {
	Address string // host:port
	calls   requester.Requester
}

// New returns the client of the log service at address.
func New(so requester.SourceIP, address string) *Appender {
	const dial, header = 2 * time.Second, 30 * time.Second
	return &Appender{Address: address, calls: requester.Requester{Client: requester.NewClient(so, dial, header), Step: "call log"}}
}

// Append implements ml.Log.
func (ap *Appender) Append(ctx context.Context, recs []ml.Record) (ml.Offset, error) {
	answer := struct {
		Offset ml.Offset `json:"offset"`
	}{}
	err := ap.calls.Do(ctx, http.MethodPost, ap.Address, "/log", recs, &answer)
	return answer.Offset, err
}

// Read implements ml.Log.
func (ap *Appender) Read(ctx context.Context, from ml.Offset, wait time.Duration) (ml.LogPage, error) {
	pa := ml.LogPage{}
	path := fmt.Sprintf("/log?from=%d&waitMs=%d", from, wait.Milliseconds())
	err := ap.calls.Do(ctx, http.MethodGet, ap.Address, path, nil, &pa)
	return pa, err
}
