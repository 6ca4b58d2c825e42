package streamer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/streamer"
)

// TestRestartedEngineRefuses checks that a prompt that is meant for one
// incarnation of an engine is refused by the next one, and that the error states
// that it was not run.
func TestRestartedEngineRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	ran := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if in := r.Header.Get("X-Incarnation"); in != "" && in != "second" {
			http.Error(w, "meant for another incarnation", http.StatusPreconditionFailed)
			return
		}
		ran++
	}))
	defer server.Close()
	ep := ml.Endpoint{ID: "e", Address: strings.TrimPrefix(server.URL, "http://")}
	st := streamer.New(nil)
	_, err := st.Generate(t.Context(), ep, ml.GenerateRequest{ID: "1", Incarnation: "first"})
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(ml.AsError("generate", err).NotRun).To(gomega.BeTrue())
	g.Expect(ran).To(gomega.BeZero())
	for _, in := range []ml.Incarnation{"", "second"} {
		stream, err := st.Generate(t.Context(), ep, ml.GenerateRequest{ID: "2", Incarnation: in})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(stream.Close()).To(gomega.Succeed())
	}
	g.Expect(ran).To(gomega.Equal(2))
}
