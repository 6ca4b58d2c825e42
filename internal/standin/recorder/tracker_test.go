package recorder

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/lister"
)

// drawVMs draws a list of up to four entries and four endpoints in varying states.
func drawVMs(t *rapid.T) ml.VMs {
	vms := ml.VMs{}
	state := rapid.SampledFrom([]ml.VMState{ml.StateLive, ml.StateLeaving})
	for _, id := range []string{"a", "b", "c", "d"} {
		if rapid.Bool().Draw(t, "entry "+id) {
			vms.Entries = append(vms.Entries, ml.EntryVM{ID: ml.VMID(id), State: state.Draw(t, "state")})
		}
		if rapid.Bool().Draw(t, "endpoint "+id) {
			vms.Endpoints = append(vms.Endpoints, ml.Endpoint{ID: ml.EndpointID(id), State: state.Draw(t, "state")})
		}
	}
	return vms
}

// equalLists reports whether two lists, each in the order of ids, are equal.
func equalLists(a, b ml.VMs) bool {
	if len(a.Entries) != len(b.Entries) || len(a.Endpoints) != len(b.Endpoints) {
		return false
	}
	for i := range a.Entries {
		if a.Entries[i] != b.Entries[i] {
			return false
		}
	}
	for i := range a.Endpoints {
		if a.Endpoints[i] != b.Endpoints[i] {
			return false
		}
	}
	return true
}

// TestReaderFollows guards against readers that miss a change of the list. It changes
// the list, restarts the platform and lets two readers fetch changes, in random
// order. After each fetch the reader must have the current list, and must have
// reported a change if there was one.
func TestReaderFollows(t *testing.T) {
	var tr tracker
	var now time.Time
	var vms ml.VMs
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		writeJSON(w, tr.changesSince(now, vms, since))
	}))
	defer server.Close()
	rapid.Check(t, func(rt *rapid.T) {
		tr, now, vms = tracker{}, time.Unix(1000, 0), ml.VMs{}
		address := strings.TrimPrefix(server.URL, "http://")
		readers := []*lister.Lister{lister.New(nil, address), lister.New(nil, address)}
		previous := make([]ml.VMs, len(readers))
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				tr = tracker{}
			case 1, 2:
				vms = drawVMs(rt)
			default:
				i := rapid.IntRange(0, len(readers)-1).Draw(rt, "reader")
				got, changed, err := readers[i].List(t.Context())
				if err != nil {
					rt.Fatal(err)
				}
				if !equalLists(got, vms) || (!changed && !equalLists(previous[i], got)) {
					rt.Fatalf("reader has %v, changed %t, the list is %v", got, changed, vms)
				}
				previous[i] = got
			}
		}
	})
}
