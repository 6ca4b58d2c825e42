package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/tracker"
)

// busyExchanger answers with streams that take a second.
type busyExchanger struct{ silentExchanger }

// answerTime is how long an answer of busyExchanger takes.
const answerTime = time.Second

// Exchange implements ml.Exchanger.
func (be busyExchanger) Exchange(context.Context, ml.ListedEndpoint, *ml.OutboundRequest) (*ml.Answer, error) {
	be.sent.Add(1)
	rd, wr := io.Pipe()
	go func() {
		_, _ = io.WriteString(wr, "id: 1\ndata: x\n\n")
		time.Sleep(answerTime)
		_, _ = io.WriteString(wr, "id: 2\ndata: x\n\n")
		_ = wr.Close()
	}()
	return &ml.Answer{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1, Body: rd, Sealed: true, Close: func() { _ = rd.Close() },
	}, nil
}

// beginRecorder counts the answers that begin in time.
type beginRecorder struct {
	discardResponder
	due    time.Time
	inTime *atomic.Int64
}

// Begin implements ml.Responder.
func (br beginRecorder) Begin(int, http.Header, int64) error {
	if !time.Now().After(br.due) {
		br.inTime.Add(1)
	}
	return nil
}

// ranked returns a request with one of the ranks 0 to 2.
func ranked(rank ml.Priority, slots int) *Request {
	rq := request(slots)
	rq.Spec.Ranks, rq.Priority = ml.RankRange{Highest: 0, Lowest: 2}, rank
	rq.Answer, rq.Route.Target = 1000, 2*time.Second
	rq.FirstEventTarget, rq.FirstEventDeadline = rq.Arrived.Add(2*time.Second), rq.Arrived.Add(8*time.Second)
	return rq
}

// TestHigherRanksFirst replays twice the load that fits, of requests that differ in nothing but
// their rank: the higher rank begins in time, and the lower one is not starved.
func TestHigherRanksFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		const slots, perSecond, seconds = 5, 8, 30 // one slot is kept for others, so that four a second fit
		fo := newForwarder(ctx, "vm", &atomic.Int64{})
		fo.Exchanger = busyExchanger{silentExchanger{&atomic.Int64{}, &atomic.Int64{}}}
		asked, inTime := map[ml.Priority]int64{}, map[ml.Priority]*atomic.Int64{0: {}, 2: {}}
		for i := range perSecond * seconds {
			rank := ml.Priority(2)
			if i%4 == 0 {
				rank = 0
			}
			asked[rank]++
			rq := ranked(rank, slots)
			go fo.Forward(ctx, rq, beginRecorder{due: rq.FirstEventTarget, inTime: inTime[rank]})
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(10 * time.Second)
		g.Expect(inTime[0].Load()).To(gomega.Equal(asked[0]), "of the higher rank")
		g.Expect(inTime[2].Load()).To(gomega.BeNumerically(">", asked[2]/4), "of the lower rank")
	})
}

// TestRankOrder checks the order of a queue, and that waiting moves a request up.
func TestRankOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	add := func(id ml.FlightID, rank ml.Priority, waited, left time.Duration) *item {
		return &item{id: id, priority: rank, ranks: ml.RankRange{Lowest: 2}, waitingSince: now.Add(-waited), latestStart: now.Add(left), rank: now.Add(left).UnixMilli()}
	}
	items := []*item{
		add("late high", 0, 0, -time.Second), add("low", 2, 0, time.Second), add("high", 0, 0, 3*time.Second), add("waited", 2, 4*time.Second, 2*time.Second), add("middle", 1, 0, time.Second),
	}
	sortByUrgency(items, now)
	order := []ml.FlightID{}
	for _, it := range items {
		order = append(order, it.id)
	}
	g.Expect(order).To(gomega.Equal([]ml.FlightID{"waited", "high", "middle", "low", "late high"}))
}

// TestFullQueue checks that the last request of a full queue leaves for one of a higher rank, and
// for no other, also if it was asked for by another entry VM and is being decided on.
func TestFullQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	fo := newColdFleet(1, 1, 1).all[0]
	now := time.Now()
	results := []*item{}
	for i := range maxQueuedRequests {
		it := fo.newOwnItem(now, ranked(1+ml.Priority(i%2), 4))
		g.Expect(fo.enqueue(now, it)).To(gomega.BeTrue())
		results = append(results, it)
	}
	equal := fo.newOwnItem(now, ranked(2, 4))
	g.Expect(fo.enqueue(now, equal)).To(gomega.BeFalse(), "of the lowest rank")
	g.Expect(fo.enqueue(now, fo.newOwnItem(now, ranked(0, 4)))).To(gomega.BeTrue())
	left := 0
	for _, it := range results {
		select {
		case de := <-it.result:
			left++
			g.Expect(it.priority).To(gomega.Equal(ml.Priority(2)))
			g.Expect(de.err).To(gomega.MatchError(errTooManyWait))
		default:
		}
	}
	g.Expect(left).To(gomega.Equal(1))
	g.Expect(fo.QueueLength()).To(gomega.Equal(maxQueuedRequests))

	asked := newAskedItem(now, &ml.PlacementRequest{QueuedRequest: ml.QueuedRequest{ID: "asked"}, From: "other"}, ranked(2, 4).Spec)
	qu := &queue{items: []*item{asked}}
	asked.priority = 2
	g.Expect(qu.removeBehind(now, fo.newOwnItem(now, ranked(0, 4)))).To(gomega.Equal(asked))
	g.Expect(qu.settle(asked)).To(gomega.BeFalse(), "a decision that comes late is not used")
}

// TestRankOnTheWire checks that a rank reaches the scheduler, and that a request of an earlier
// release, which says none, goes among the highest.
func TestRankOnTheWire(t *testing.T) {
	g := gomega.NewWithT(t)
	fo := newColdFleet(1, 1, 1).all[0]
	now := time.Now()
	rq := ranked(2, 4)
	own := fo.newOwnItem(now, rq)
	pr := fo.placementRequest(now, own, nil)
	sent := tracker.EncodePlacementRequest(now, &pr)
	received := tracker.DecodePlacementRequest(now, &sent)
	it := newAskedItem(now, &received, rq.Spec)
	g.Expect(it.priority).To(gomega.Equal(ml.Priority(2)))
	fl := newFlights(now, it, &placement{lead: ml.ListedEndpoint{}})[0]
	g.Expect(fl.Weight).To(gomega.Equal(0.25))
	received.Priority = nil
	it = newAskedItem(now, &received, rq.Spec)
	g.Expect(it.priority).To(gomega.Equal(ml.Priority(0)))
	g.Expect(fmt.Sprint(rq.outgoing(&placement{}).Priority)).To(gomega.Equal("2"), "what the engine is told")
}
