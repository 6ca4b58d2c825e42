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
	"github.com/mulberrylever/mulberrylever/internal/decision/ranker"
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
	rq.Weight = ranker.Weight(&ml.Route{Priority: rank}, nil, rq.Spec.Ranks)
	rq.Answer, rq.Route.Target = 1000, 2*time.Second
	rq.FirstEventTarget, rq.FirstEventDeadline = rq.Arrived.Add(2*time.Second), rq.Arrived.Add(8*time.Second)
	return rq
}

// replay sends requests at a constant rate, each of the kind that a name stands for, to an engine
// that can serve four a second. It returns how many of each kind there were, and how many began in
// time.
func replay(t *testing.T, perSecond, seconds int, kinds []string, newRequest func(kind string) *Request) (asked, inTime map[string]int64) {
	asked, inTime = make(map[string]int64), make(map[string]int64)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		fo := newForwarder(ctx, "vm", &atomic.Int64{})
		fo.Exchanger = busyExchanger{silentExchanger{&atomic.Int64{}, &atomic.Int64{}}}
		begun := make(map[string]*atomic.Int64)
		for i := range perSecond * seconds {
			kind := kinds[i%len(kinds)]
			if begun[kind] == nil {
				begun[kind] = &atomic.Int64{}
			}
			asked[kind]++
			rq := newRequest(kind)
			go fo.Forward(ctx, rq, beginRecorder{due: rq.FirstEventTarget, inTime: begun[kind]})
			time.Sleep(time.Second / time.Duration(perSecond))
		}
		time.Sleep(10 * time.Second)
		for kind, n := range begun {
			inTime[kind] = n.Load()
		}
	})
	return asked, inTime
}

// replaySlots is the number of slots of the engine in replay, of which one is kept for others.
const replaySlots = 5

// TestHigherRanksFirst replays twice the load that fits, of requests that differ in nothing but
// their rank: the higher rank begins in time, and the lower one is not starved.
func TestHigherRanksFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	ranks := map[string]ml.Priority{"high": 0, "low": 2}
	asked, inTime := replay(t, 8, 30, []string{"high", "low", "low", "low"}, func(kind string) *Request { return ranked(ranks[kind], replaySlots) })
	g.Expect(inTime["high"]).To(gomega.Equal(asked["high"]))
	g.Expect(inTime["low"]).To(gomega.BeNumerically(">", asked["low"]/4))
}

// TestTeamsShare replays twice the load that fits, six callers in seven of one team: the other
// team, far below its half, is served in full, and what it leaves is used.
func TestTeamsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	kinds := []string{"large", "large", "large", "large", "large", "large", "small"}
	asked, inTime := replay(t, 8, 35, kinds, func(kind string) *Request {
		rq := ranked(0, replaySlots)
		rq.Spec.Ranks, rq.Outgoing.Team = ml.RankRange{}, ml.TeamID(kind)
		return rq
	})
	g.Expect(inTime["small"]).To(gomega.Equal(asked["small"]))
	g.Expect(inTime["large"]).To(gomega.BeNumerically(">", asked["large"]/4))
}

// TestRankOrder checks the order of a queue, and that waiting moves a request up.
func TestRankOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	add := func(id ml.FlightID, rank ml.Priority, waited, left time.Duration) *item {
		return &item{id: id, priority: rank, ranks: ml.RankRange{Lowest: 2}, waitingSince: now.Add(-waited), latestStart: now.Add(left), sortKey: now.Add(left).UnixMilli()}
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
	rq.Outgoing.Team = "team"
	own := fo.newOwnItem(now, rq)
	pr := fo.placementRequest(now, own, nil)
	sent := tracker.EncodePlacementRequest(now, &pr)
	received := tracker.DecodePlacementRequest(now, &sent)
	it := newAskedItem(now, &received, rq.Spec)
	g.Expect(it.priority).To(gomega.Equal(ml.Priority(2)))
	g.Expect(it.team).To(gomega.Equal(ml.TeamID("team")))
	fo.Tracker.AddFlight(now, newFlights(now, it, &placement{})[0])
	other := &tracker.Tracker{}
	other.ApplyPeerUpdate(now, fo.Tracker.Snapshot(now))
	fl := other.Flights(now)[""][0]
	g.Expect(fl.Weight).To(gomega.Equal(0.25), "what a new scheduler learns of it")
	g.Expect(fl.Team).To(gomega.Equal(ml.TeamID("team")))
	received.Priority = nil
	it = newAskedItem(now, &received, rq.Spec)
	g.Expect(it.priority).To(gomega.Equal(ml.Priority(0)))
	g.Expect(fmt.Sprint(rq.outgoing(&placement{}).Priority)).To(gomega.Equal("2"), "what the engine is told")
}
