package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
)

// busyScheduler has requests wait for ever.
type busyScheduler struct{ asked atomic.Int64 }

func (bs *busyScheduler) Schedule(ctx context.Context, _ string, rq ml.SharedPlacementRequest) (ml.SharedPlacement, error) {
	bs.asked.Add(1)
	select {
	case <-ctx.Done():
		return ml.SharedPlacement{}, ctx.Err()
	case <-time.After(time.Duration(rq.ReplyWithinMs) * time.Millisecond):
	}
	return ml.SharedPlacement{IsWaiting: true}, nil
}

// refusalRecorder records the refusals of requests.
type refusalRecorder struct {
	discardResponder
	refusals chan ml.Refusal
}

func (rr refusalRecorder) Refuse(rf ml.Refusal) { rr.refusals <- rf }

// TestStopWhileSchedulerDecides guards against a request that waits at a scheduler elsewhere when
// the process of its caller's entry VM stops, and is cut off without an answer.
func TestStopWhileSchedulerDecides(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fo, bs := newForwarder(ctx, "vm", &atomic.Int64{}), &busyScheduler{}
	refusing, refuse := context.WithCancel(ctx)
	fo.Scheduler = func(time.Time) (string, bool) { return "scheduler", false }
	fo.Schedulers, fo.Refusing = bs, refusing
	rr := refusalRecorder{refusals: make(chan ml.Refusal, 1)}
	go fo.Forward(ctx, request(16), rr)
	g.Eventually(bs.asked.Load, "5s", "5ms").Should(gomega.BeNumerically(">=", 2))
	refuse()
	var rf ml.Refusal
	g.Eventually(rr.refusals, "100ms", "1ms").Should(gomega.Receive(&rf))
	g.Expect(rf.Status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(rf.RetryAfter).To(gomega.BeNumerically(">", 0))
	sm, _ := fo.Tracker.TakeChanges()
	g.Expect(sm.Withdrawn).To(gomega.HaveLen(1), "the scheduler is told")
}
