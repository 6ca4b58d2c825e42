package forwarder

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
	"github.com/mulberrylever/mulberrylever/internal/decision/reacher"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

// BenchmarkRound measures one evaluation of the queue of a scheduler before engines that all
// work, with requests that wait.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ engines, waiting, excluded int }{{52, 1, 40}, {112, 1, 97}, {112, 50, 97}} {
		b.Run(fmt.Sprint(size.engines, " engines, ", size.waiting, " waiting"), func(b *testing.B) {
			log := slog.New(slog.DiscardHandler)
			fo := &Forwarder{Self: "vm", StartedAt: time.Now(), Tracker: &tracker.Tracker{}, Detector: &detector.Detector{}, Reacher: &reacher.Reacher{}, Log: log, Metrics: noMeter{}, NotifyPeers: func() {}}
			fo.Catalog = &cataloger.Cataloger{Decoder: serviceDecoder{slots: 10}, Log: log}
			fo.Scheduler = func(time.Time) (string, bool) { return "vm", true }
			now := time.Now()
			fo.Catalog.Merge(now, []ml.KeyRecord{{Topic: "o", Key: "config", Value: []byte("x")}}, nil)
			for i := range size.engines {
				id := fmt.Sprint("i-", i)
				fo.Catalog.Merge(now, []ml.KeyRecord{{Topic: "t", Key: id, Value: []byte("x")}}, nil)
				for j := range 9 {
					fo.Tracker.AddPeerFlight(now, ml.VMID(fmt.Sprint("vm", i+j)), ml.Flight{
						ID: ml.FlightID(fmt.Sprint("f", i, "-", j)), Endpoint: ml.EndpointID(id), SentAt: now, FirstEventAt: now,
						DecodeTime: 10 * time.Second, Memory: 6000, GapTarget: 300 * time.Millisecond, Value: 1.5,
					})
				}
			}
			spec := fo.serviceSpec("lm")
			spec.Engine = engineProfile()
			spec.Engine.Slots = 9
			for i := range size.waiting {
				pr := ml.PlacementRequest{From: "other", QueuedRequest: ml.QueuedRequest{
					ID: ml.FlightID(fmt.Sprint("ask", i)), Service: "lm", Prompt: 5000, Answer: 1600, GapTarget: 300 * time.Millisecond, Value: 1.6,
					FirstEventTarget: now.Add(time.Hour), FirstEventDeadline: now.Add(2 * time.Hour),
				}}
				for j := range size.excluded {
					pr.Excluded = append(pr.Excluded, ml.EndpointID(fmt.Sprint("i-", j)))
				}
				it := newAskedItem(now, &pr, spec)
				it.askedAt = now.Add(time.Hour)
				fo.enqueue(now, it)
			}
			b.ResetTimer()
			for b.Loop() {
				fo.schedule(now)
			}
			if fo.QueueLength() != size.waiting {
				b.Fatalf("%d requests wait, want %d", fo.QueueLength(), size.waiting)
			}
		})
	}
}
