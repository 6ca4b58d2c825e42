package sharer

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/attributor"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

// packer encodes messages, and sends none.
type packer struct{ ml.SharePeers }

func (packer) Pack(sm ml.ShareMessage) (ml.EncodedMessage, error) { return json.Marshal(sm) }

// TestReportsInAnyFleet guards against a scheduler that forgets requests which last, since an
// entry VM of a large fleet reports them as seldom as it sends its heartbeats.
func TestReportsInAnyFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	const members, ticks, first = 180, 12, "10.0.0.1"
	now := time.Now()
	sh := New()
	sh.Self, sh.Address, sh.Domain, sh.Schedules, sh.Peers = "vm", "10.0.9.9", "d", true, packer{}
	sh.Tracker, sh.Catalog, sh.Attributor = &tracker.Tracker{}, &cataloger.Cataloger{Log: slog.New(slog.DiscardHandler)}, &attributor.Attributor{}
	sh.Log, sh.Leaving, sh.Cut = slog.New(slog.DiscardHandler), func() bool { return false }, func() []ml.ServiceName { return nil }
	sh.inTouchSince, sh.lastTick = now.Add(-time.Minute), now
	for i := range members {
		me := &member{address: fmt.Sprintf("10.0.%d.%d", i/200, i%200+1), sendQueue: make(chan outgoingMessage, 1000), schedules: true, domain: "d", addedAt: now, stop: func() {}}
		if me.address == first {
			me.cores = 2
		}
		sh.members[me.address] = me
	}
	sh.Tracker.AddFlight(now, ml.Flight{ID: "long", Endpoint: "e", SentAt: now})
	reported, heartbeats := 0, 0
	for range ticks {
		now = now.Add(maxStateInterval)
		for _, me := range sh.members {
			me.lastHeard = now
		}
		sh.sendState(context.Background(), now)
		hasReport := false
		for len(sh.members[first].sendQueue) > 0 {
			sm := ml.ShareMessage{}
			g.Expect(json.Unmarshal((<-sh.members[first].sendQueue).body, &sm)).To(gomega.Succeed())
			hasReport = hasReport || sm.Full && len(sm.Flights) == 1
			if sm.Relay {
				heartbeats++
			}
		}
		if hasReport {
			reported++
		}
	}
	g.Expect(reported).To(gomega.Equal(ticks), "each interval, which is shorter than what the scheduler waits for")
	g.Expect(heartbeats).To(gomega.BeNumerically("<=", ticks/4), "to all others it sends them seldom")
}
