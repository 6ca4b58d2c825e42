package forwarder

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
)

// TestWhere checks that it is told where a request would go and why, and that nothing is sent or
// recorded by that.
func TestWhere(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const slots = 4
	sent := &atomic.Int64{}
	fo := newForwarder(ctx, "vm", sent)
	wh := fo.Where(time.Now(), request(slots))
	g.Expect(wh.Outcome).To(gomega.Equal(goesNow))
	g.Expect(wh.At).To(gomega.Equal([]ml.EndpointID{"e"}))
	g.Expect(wh.Endpoints).To(gomega.HaveLen(1))
	g.Expect(wh.Endpoints[0].Reason).To(gomega.BeEmpty())

	for i := range slots {
		now := time.Now()
		fo.Tracker.AddFlight(now, ml.Flight{ID: ml.FlightID(fmt.Sprint("f", i)), Endpoint: "e", SentAt: now, FirstEventAt: now, DecodeTime: time.Second, GapTarget: time.Second})
	}
	wh = fo.Where(time.Now(), request(slots))
	g.Expect(wh.Outcome).To(gomega.Equal(waitsFor))
	g.Expect(wh.Endpoints[0].Reason).To(gomega.Equal("all places are taken"))
	g.Expect(wh.Endpoints[0].Running).To(gomega.Equal(slots))

	call := call(ml.RouteSafe)
	call.Service = "other"
	g.Expect(fo.Where(time.Now(), call).Outcome).To(gomega.Equal(noEndpoints))
	g.Expect(sent.Load()).To(gomega.BeZero())
	g.Expect(fo.Tracker.Flights(time.Now())["e"]).To(gomega.HaveLen(slots))
	g.Expect(fo.QueueLength()).To(gomega.BeZero())
}
