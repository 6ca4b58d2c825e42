package tracker_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

var start = time.Unix(1000, 0)

// TestPeersAgree checks that after any changes, told one by one with some of
// them lost, a message with everything makes a peer know the same flights.
func TestPeersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		own, peer := &tracker.Tracker{}, &tracker.Tracker{}
		now := start
		ids := []ml.FlightID{"a", "b", "c", "d"}
		for range rapid.IntRange(0, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(rt, "id")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				own.AddFlight(now, ml.Flight{ID: id, Endpoint: "e", SentAt: now, Memory: 5})
			case 1:
				own.RecordEvent(now, id)
			case 2:
				own.EndFlight(id)
			case 3:
				if sh, any := own.TakeChanges(); any && rapid.Bool().Draw(rt, "arrives") {
					sh.From = "own"
					peer.ApplyPeerUpdate(now, sh)
				}
			}
		}
		sh := own.Snapshot(now)
		sh.From = "own"
		peer.ApplyPeerUpdate(now, sh)
		want, got := own.Flights(now)["e"], peer.Flights(now)["e"]
		if len(want) != len(got) {
			rt.Fatalf("own %d flights, peer %d", len(want), len(got))
		}
		began := func(all []ml.Flight) map[ml.FlightID]bool {
			out := map[ml.FlightID]bool{}
			for _, fl := range all {
				out[fl.ID] = fl.FirstEventAt.IsZero()
			}
			return out
		}
		for id, zero := range began(want) {
			if at, found := began(got)[id]; !found || at != zero {
				rt.Fatalf("flight %s: found %t, reading %t, want %t", id, found, at, zero)
			}
		}
	})
}

// TestSilence checks that a peer that is silent no longer counts, and that the
// sends of a second are counted over all entry VMs.
func TestSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := &tracker.Tracker{}
	tr.ApplyPeerUpdate(start, ml.ShareMessage{From: "p", Flights: []ml.SharedFlight{{ID: "x", Endpoint: "e"}}})
	tr.AddFlight(start, ml.Flight{ID: "y", Endpoint: "e", SentAt: start})
	g.Expect(tr.RecentSends(start.Add(900*time.Millisecond), "e")).To(gomega.Equal(2))
	g.Expect(tr.RecentSends(start.Add(1100*time.Millisecond), "e")).To(gomega.Equal(0))
	g.Expect(tr.LivePeers(start.Add(time.Second))).To(gomega.Equal(1))
	g.Expect(tr.Flights(start.Add(time.Second))["e"]).To(gomega.HaveLen(2))
	g.Expect(tr.Flights(start.Add(4 * time.Second))["e"]).To(gomega.HaveLen(1))
	g.Expect(tr.LivePeers(start.Add(4 * time.Second))).To(gomega.Equal(0))
}
