package forwarder

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
)

// emptyExchanger answers with a stream that ends before its first event.
type emptyExchanger struct{ silentExchanger }

// Exchange implements ml.Exchanger.
func (ee emptyExchanger) Exchange(context.Context, ml.ListedEndpoint, *ml.OutboundRequest) (*ml.Answer, error) {
	return &ml.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Sealed: true, Body: strings.NewReader(""), Close: func() {}}, nil
}

// TestEmptyStreamIsNotComplete guards against a stream without a length or chunks whose
// engine ended before the first event, and that looks complete to the caller.
func TestEmptyStreamIsNotComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fo := newForwarder(ctx, "vm", &atomic.Int64{})
	fo.Exchanger = emptyExchanger{}
	rr := &recordingResponder{}
	fo.Forward(ctx, request(16), rr)
	g.Expect(rr.begun.Load()).To(gomega.BeZero())
	g.Expect(rr.refused.Load()).To(gomega.Equal(int64(1)))
}
