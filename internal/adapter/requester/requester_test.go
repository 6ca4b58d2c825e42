package requester_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
	"github.com/mulberrylever/mulberrylever/internal/standin/garbler"
)

// call makes a call to a peer that answers with a text, and decodes its body into out.
func call(t *testing.T, text string, out any) error {
	address := (&garbler.Garbler{Answer: func(*http.Request) string { return text }}).Start(t)
	re := requester.Requester{Client: requester.NewClient(nil, time.Second, time.Second), Step: "call"}
	return re.Do(t.Context(), http.MethodPost, address, "/", struct{}{}, out)
}

// TestAnswerCutOff guards against an answer that is taken for whole although its body is cut off,
// also when nothing is asked of the body.
func TestAnswerCutOff(t *testing.T) {
	for _, out := range []any{nil, &struct{}{}} {
		err := call(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", out)
		gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), "%v", out)
	}
}

// TestStatusOfNoAnswer guards against an answer of a peer in trouble whose status is none, and
// which is taken for a refusal: the peer may have acted.
func TestStatusOfNoAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(call(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", &struct{}{})).To(gomega.Succeed())
	for _, status := range []string{"000", "099 OK", "600 OK", "101 Switching Protocols"} {
		err := call(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}", &struct{}{})
		g.Expect(err).To(gomega.HaveOccurred(), status)
		g.Expect(ml.AsError("", err).NotRun).To(gomega.BeFalse(), status)
	}
}

// TestMalformedFieldName guards against an answer in which the name of a field is malformed: in its
// head, in that of an interim answer, or in its trailer.
func TestMalformedFieldName(t *testing.T) {
	const sound, chunk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
	for text, isSound := range map[string]bool{
		"HTTP/1.1 103 Early Hints\r\nX-Odd: 1\r\n\r\n" + sound:          true,
		"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + sound:          false,
		chunk + "X-Odd: 1\r\n\r\n":                                      true,
		chunk + "X Odd: 1\r\n\r\n":                                      false,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}":    false,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}":               false,
		"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\n{}": false,
	} {
		gomega.NewWithT(t).Expect(call(t, text, &struct{}{}) == nil).To(gomega.Equal(isSound), "%q", text)
	}
}

// TestInterimAnswersWithoutEnd guards against a peer that sends interim answers and no other.
func TestInterimAnswersWithoutEnd(t *testing.T) {
	const many = 10_000
	err := call(t, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", many)+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", &struct{}{})
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring("interim")))
}
