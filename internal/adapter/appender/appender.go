// Package appender is the client of the platform's log service. It appends
// records to the log and reads pages of it.
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
	client  requester.Requester
}

// New returns a client of the log service at address. It connects from the
// given source address.
func New(so requester.SourceIP, address string) *Appender {
	const dialTimeout, headerTimeout = 2 * time.Second, 30 * time.Second
	return &Appender{Address: address, client: requester.Requester{Client: requester.NewClient(so, dialTimeout, headerTimeout), Step: "call log"}}
}

// Append implements ml.Log.
func (ap *Appender) Append(ctx context.Context, recs []ml.Record) (ml.Offset, error) {
	answer := struct {
		Offset ml.Offset `json:"offset"`
	}{}
	err := ap.client.Do(ctx, http.MethodPost, ap.Address, "/log", recs, &answer)
	return answer.Offset, err
}

// Read implements ml.Log.
func (ap *Appender) Read(ctx context.Context, from ml.Offset, wait time.Duration) (ml.LogPage, error) {
	pa := ml.LogPage{}
	path := fmt.Sprintf("/log?from=%d&waitMs=%d", from, wait.Milliseconds())
	err := ap.client.Do(ctx, http.MethodGet, ap.Address, path, nil, &pa)
	return pa, err
}
