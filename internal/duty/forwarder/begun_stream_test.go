package forwarder

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
)

// caller is a caller that has received the head and two events of a stream. It records what
// comes after them.
type caller struct {
	status   []int
	written  strings.Builder
	refusals int
	aborted  bool
}

// Begin implements ml.Responder.
func (ca *caller) Begin(status int, _ http.Header, _ int64) error {
	ca.status = append(ca.status, status)
	return nil
}

// Write implements ml.Responder.
func (ca *caller) Write(part []byte) error {
	_, err := ca.written.Write(part)
	return err
}

// Refuse implements ml.Responder.
func (ca *caller) Refuse(ml.Refusal) { ca.refusals++ }

// Abort implements ml.Responder.
func (ca *caller) Abort() { ca.aborted = true }

// scriptedExchanger gives one answer to everything. It also carries requests.
type scriptedExchanger struct {
	silentExchanger
	answer ml.Answer
}

// Exchange implements ml.Exchanger.
func (se scriptedExchanger) Exchange(context.Context, ml.ListedEndpoint, *ml.OutboundRequest) (*ml.Answer, error) {
	an := se.answer
	an.Close = func() {}
	return &an, nil
}

// Carry implements ml.Carrier.
func (se scriptedExchanger) Carry(ctx context.Context, _ string, out *ml.OutboundRequest, _ int) (*ml.Answer, error) {
	return se.Exchange(ctx, ml.ListedEndpoint{}, out)
}

// scriptedAnswer returns the answer in a script.
func scriptedAnswer(t *testing.T, td *datadriven.TestData) ml.Answer {
	an := ml.Answer{Header: http.Header{}, Length: -1}
	kind, body, seal := "text/event-stream", "", true
	td.ScanArgs(t, "status", &an.Status)
	td.MaybeScanArgs(t, "type", &kind)
	td.MaybeScanArgs(t, "body", &body)
	td.MaybeScanArgs(t, "seal", &seal)
	td.MaybeScanArgs(t, "unframed", &an.Unframed)
	an.Sealed = seal
	an.Header.Set("Content-Type", kind)
	body = strings.NewReplacer(`\n`, "\n", "_", " ").Replace(body)
	times := 1
	td.MaybeScanArgs(t, "times", &times)
	an.Body = strings.NewReader(strings.Repeat(body, times))
	return an
}

// TestAnswerToABegunStream guards against the answer of another endpoint, or of another entry
// VM, in the middle of a stream that has begun and broken off, and against a stream that
// looks complete since that answer has ended.
func TestAnswerToABegunStream(t *testing.T) {
	datadriven.RunTest(t, "testdata/begun_stream", func(t *testing.T, td *datadriven.TestData) string {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fo := newForwarder(ctx, "vm", &atomic.Int64{})
		ex := scriptedExchanger{answer: scriptedAnswer(t, td)}
		fo.Exchanger, fo.Carrier = ex, ex
		rq := request(16)
		rq.headSent, rq.headStatus, rq.headType, rq.eventCount, rq.lastEventID, rq.possibleRuns, rq.sendCount = true, http.StatusOK, "text/event-stream", 2, 2, 1, 1
		ca := &caller{}
		ar := attemptResult{}
		if td.Cmd == "carried" {
			ar = fo.attemptCarried(ctx, rq, ca, "address", 1)
		} else {
			ar = fo.attempt(ctx, rq, ca, &placement{lead: ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: "e"}}, flights: []ml.FlightID{"f"}})
		}
		if !ar.done {
			fo.finish(ctx, rq, ca, ar)
		}
		out := "complete"
		if len(ca.status) > 0 || ca.refusals > 0 {
			out = "another head" // in the middle of the stream
		}
		if ca.aborted {
			out = "broken off"
		}
		return strings.TrimSpace(out+" "+strings.ReplaceAll(ca.written.String(), "\n", `\n`)) + "\n"
	})
}
