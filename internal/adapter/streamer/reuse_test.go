package streamer_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/streamer"
)

// bodyEndDelay is the time between the last data of a body and its end. A reader
// that stops at the last data closes the connection instead of reusing it.
const bodyEndDelay = 5 * time.Millisecond

// TestConnectionReuse checks that consecutive prompts share one connection, and
// that the calls with a long response between them share another.
func TestConnectionReuse(t *testing.T) {
	g := gomega.NewWithT(t)
	opened := atomic.Int64{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "%s", "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(bodyEndDelay)
	})
	mux.HandleFunc("GET /v1/holds", func(w http.ResponseWriter, _ *http.Request) {
		const incarnationBytes = 10_000 // too many for net/http to send a Content-Length
		fmt.Fprintf(w, `{"incarnation":"%s"}`, strings.Repeat("i", incarnationBytes))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(bodyEndDelay)
	})
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	st := streamer.New(nil)
	ep := ml.Endpoint{ID: "e", Address: strings.TrimPrefix(server.URL, "http://")}
	const rounds = 5
	for i := range rounds {
		stream, err := st.Generate(t.Context(), ep, ml.GenerateRequest{ID: ml.GrantID(fmt.Sprint(i)), Prompt: "p", MaxTokens: 1})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for err == nil {
			_, err = stream.Next()
		}
		g.Expect(errors.Is(err, io.EOF)).To(gomega.BeTrue(), "%v", err)
		g.Expect(stream.Close()).To(gomega.Succeed())
		_, err = st.Report(t.Context(), ep)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(opened.Load()).To(gomega.BeNumerically("<=", 2), "want at most one connection for streams and one for calls")
}
