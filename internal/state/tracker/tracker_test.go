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

// TestSnapshotSynchronizesPeer guards against peers that keep a different view
// after lost updates: after any changes, some of which never reach the peer, a
// snapshot gives it the same flights.
func TestSnapshotSynchronizesPeer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		local, peer := &tracker.Tracker{}, &tracker.Tracker{}
		now := start
		ids := []ml.FlightID{"a", "b", "c", "d"}
		for range rapid.IntRange(0, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(rt, "id")
			switch rapid.IntRange(0, 3).Draw(rt, "operation") {
			case 0:
				local.AddFlight(now, ml.Flight{ID: id, Endpoint: "e", SentAt: now, Memory: 5})
			case 1:
				local.RecordEvent(now, id)
			case 2:
				local.EndFlight(id)
			case 3:
				if sm, changed := local.TakeChanges(); changed && rapid.Bool().Draw(rt, "delivered") {
					sm.From = "own"
					peer.ApplyPeerUpdate(now, sm)
				}
			}
		}
		sm := local.Snapshot(now)
		sm.From = "own"
		peer.ApplyPeerUpdate(now, sm)
		want, got := local.Flights(now)["e"], peer.Flights(now)["e"]
		if len(want) != len(got) {
			rt.Fatalf("%d local flights, %d at the peer", len(want), len(got))
		}
		awaitingFirstEvent := func(flights []ml.Flight) map[ml.FlightID]bool {
			out := map[ml.FlightID]bool{}
			for _, fl := range flights {
				out[fl.ID] = fl.FirstEventAt.IsZero()
			}
			return out
		}
		for id, wantAwaiting := range awaitingFirstEvent(want) {
			if gotAwaiting, found := awaitingFirstEvent(got)[id]; !found || gotAwaiting != wantAwaiting {
				rt.Fatalf("flight %s: found at the peer %t, without a first event %t, want %t", id, found, gotAwaiting, wantAwaiting)
			}
		}
	})
}

// TestPeerExpiry checks that the state of a peer expires when no messages come
// from it, and that the sends of the last second include those of the peers.
func TestPeerExpiry(t *testing.T) {
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

// TestLocalSends checks that a request counts from its placement until a second after
// it has been written, and no longer if it was never written.
func TestLocalSends(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := &tracker.Tracker{}
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for _, id := range []ml.FlightID{"written", "late", "unsent"} {
		tr.AddFlight(now, ml.Flight{ID: id, Endpoint: "e", SentAt: now})
	}
	tr.AddFlight(now, ml.Flight{ID: "helper", Endpoint: "e", SentAt: now, Helper: true})
	g.Expect(tr.LocalSends(at(0), "e", time.Second)).To(gomega.Equal(3), "a helper gets no request")
	tr.RecordSent(at(100), "written")
	tr.RecordSent(at(900), "written")
	tr.EndFlight("unsent")
	tr.EndFlight("written")
	g.Expect(tr.LocalSends(at(1099), "e", time.Second)).To(gomega.Equal(2))
	g.Expect(tr.LocalSends(at(1100), "e", time.Second)).To(gomega.Equal(1), "one is not written yet")
	tr.RecordSent(at(5000), "late")
	g.Expect(tr.LocalSends(at(5999), "e", time.Second)).To(gomega.Equal(1))
	g.Expect(tr.LocalSends(at(6000), "e", time.Second)).To(gomega.BeZero())
}
