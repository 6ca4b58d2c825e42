package forwarder

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
)

// endlessBody repeats a text until ctx ends. It counts the bytes that were read.
type endlessBody struct {
	ctx  context.Context
	text string
	at   int
	read *atomic.Int64
}

// Read implements io.Reader.
func (eb *endlessBody) Read(part []byte) (int, error) {
	if err := eb.ctx.Err(); err != nil {
		return 0, err
	}
	n := copy(part, eb.text[eb.at:])
	eb.at = (eb.at + n) % len(eb.text)
	eb.read.Add(int64(n))
	return n, nil
}

// endlessExchanger answers each request with a body that never ends.
type endlessExchanger struct {
	silentExchanger
	prefix, repeated string
	status           int
	read             *atomic.Int64
}

// Exchange implements ml.Exchanger.
func (ee endlessExchanger) Exchange(ctx context.Context, _ ml.ListedEndpoint, _ *ml.OutboundRequest) (*ml.Answer, error) {
	ee.sent.Add(1)
	body := io.MultiReader(strings.NewReader(ee.prefix), &endlessBody{ctx: ctx, text: ee.repeated, read: ee.read})
	return &ml.Answer{Status: ee.status, Header: http.Header{}, Length: -1, Sealed: true, Body: body, Close: func() {}}, nil
}

// recordingResponder counts the answers and bytes that are forwarded to the caller.
type recordingResponder struct {
	discardResponder
	begun, written, refused atomic.Int64
}

// Begin implements ml.Responder.
func (rr *recordingResponder) Begin(int, http.Header, int64) error {
	rr.begun.Add(1)
	return nil
}

// Write implements ml.Responder.
func (rr *recordingResponder) Write(part []byte) error {
	rr.written.Add(int64(len(part)))
	return nil
}

// Refuse implements ml.Responder.
func (rr *recordingResponder) Refuse(ml.Refusal) { rr.refused.Add(1) }

// TestBodyWithoutEnd guards against an endpoint that sends bytes that are no answer and
// never stops: it is left long before the request's deadline, and the caller does not
// get these bytes.
func TestBodyWithoutEnd(t *testing.T) {
	const maxBytes = 8 << 20
	const event = "id: 1\ndata: x\n\n"
	for name, tc := range map[string]struct {
		status           int
		prefix, repeated string
	}{
		"an event":            {http.StatusOK, event + "data: ", "x"},
		"the same event":      {http.StatusOK, event, event},
		"comments":            {http.StatusOK, event, ": x\n\n"},
		"blank lines":         {http.StatusOK, event, "\r\n"},
		"an error's response": {http.StatusInternalServerError, "", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sent, read := &atomic.Int64{}, &atomic.Int64{}
			fo := newForwarder(ctx, "vm", sent)
			fo.Exchanger = endlessExchanger{silentExchanger{sent, &atomic.Int64{}}, tc.prefix, tc.repeated, tc.status, read}
			rq, rs := request(16), &recordingResponder{}
			rq.Deadline = time.Now().Add(5 * time.Second)
			fo.Forward(ctx, rq, rs)
			g.Expect(time.Now()).To(gomega.BeTemporally("<", rq.Deadline), "left before the deadline")
			g.Expect(read.Load()).To(gomega.BeNumerically("<", maxBytes))
			g.Expect(rs.written.Load()).To(gomega.BeNumerically("<=", len(event)))
		})
	}
}
