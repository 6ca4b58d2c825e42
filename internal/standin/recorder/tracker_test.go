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

// drawVMs draws a list of a few VMs that come, go and change.
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

// same tells whether two lists in the order of their ids are equal.
func same(a, b ml.VMs) bool {
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

// TestReaderFollows lets the list change, the platform restart and two readers
// fetch what is new to them, in any order: each then has the list as it is, and
// knows whether it changed.
func TestReaderFollows(t *testing.T) {
	var tr tracker
	var now time.Time
	var vms ml.VMs
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		writeJSON(w, tr.show(now, vms, since))
	}))
	defer server.Close()
	rapid.Check(t, func(rt *rapid.T) {
		tr, now, vms = tracker{}, time.Unix(1000, 0), ml.VMs{}
		address := strings.TrimPrefix(server.URL, "http://")
		readers := []*lister.Lister{lister.New(nil, address), lister.New(nil, address)}
		had := make([]ml.VMs, len(readers))
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
				if !same(got, vms) || (!changed && !same(had[i], got)) {
					rt.Fatalf("reader has %v, changed %t, the list is %v", got, changed, vms)
				}
				had[i] = got
			}
		}
	})
}
