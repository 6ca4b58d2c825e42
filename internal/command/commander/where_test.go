package commander

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/forwarder"
)

// TestWhere checks that the scheduler is asked where another entry VM names one, how its answer reads,
// and what is said of a request that an entry VM does not know.
func TestWhere(t *testing.T) {
	g := gomega.NewWithT(t)
	asked := 0
	vm := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, hr *http.Request) {
		if hr.URL.Query().Get("path") != "/short/" {
			http.Error(wr, "host, path: no route", http.StatusNotFound)
			return
		}
		wh := forwarder.Where{Service: "lm", Outcome: "goes now", At: []ml.EndpointID{"e1", "e2"}, FirstMs: 90, Endpoints: []forwarder.EndpointOutlook{{ID: "e3", Reason: "all places are taken"}}}
		if asked++; asked == 1 {
			wh = forwarder.Where{Scheduler: "127.0.0.1:1"}
		}
		g.Expect(json.NewEncoder(wr).Encode(wh)).To(gomega.Succeed())
	}))
	defer vm.Close()
	wc := &whereCommand{At: strings.TrimPrefix(vm.URL, "http://"), Host: "h", Path: "/short/"}
	_, wh, err := wc.ask(t.Context(), wc.At)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, wh, err = wc.askScheduler(t.Context(), wh.Scheduler)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text := strings.Builder{}
	writeWhere(&text, wh)
	g.Expect(text.String()).To(gomega.ContainSubstring("lm, rank 0: goes now e1 with helpers e2\n"))
	g.Expect(text.String()).To(gomega.ContainSubstring("all places are taken"))
	wc.Path = "/none/"
	g.Expect(wc.Execute(nil)).To(gomega.MatchError(gomega.ContainSubstring("status 404: host, path: no route")))
}
