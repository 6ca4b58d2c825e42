package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/hedger"
)

// hedges holds what is needed to decide on second copies of requests. The zero value sends none.
type hedges struct {
	mu     sync.Mutex
	budget hedger.Budget
	times  map[ml.ServiceName]*hedger.Times
}

// recordRequest records a request, of which a share earns a second copy.
func (he *hedges) recordRequest(perCent float64) {
	he.mu.Lock()
	defer he.mu.Unlock()
	he.budget.PerCent = perCent
	he.budget.RecordRequest()
}

// recordAnswer records how long an endpoint of a service took for an answer.
func (he *hedges) recordAnswer(service ml.ServiceName, took time.Duration) {
	he.mu.Lock()
	defer he.mu.Unlock()
	he.timesOf(service).RecordAnswer(took)
}

// delay returns the time after which a request without an answer may be sent to a second endpoint.
func (he *hedges) delay(service ml.ServiceName, objective time.Duration) time.Duration {
	he.mu.Lock()
	defer he.mu.Unlock()
	return he.timesOf(service).Delay(objective)
}

// timesOf returns the times of a service. The caller must hold he.mu.
func (he *hedges) timesOf(service ml.ServiceName) *hedger.Times {
	if he.times == nil {
		he.times = make(map[ml.ServiceName]*hedger.Times)
	}
	if he.times[service] == nil {
		he.times[service] = &hedger.Times{}
	}
	return he.times[service]
}

// exchanged is the result of one of two copies of a request.
type exchanged struct {
	answer *ml.Answer
	err    error
	copy   int // 0 for the first, 1 for the second
}

// isGood reports whether a copy was answered with success.
func (ex *exchanged) isGood() bool {
	return ex.err == nil && ex.answer.Sealed && ex.answer.Status/100 == http.StatusOK/100
}

// close closes the answer, if there is one.
func (ex *exchanged) close() {
	if ex.err == nil {
		ex.answer.Close()
	}
}

// hedge is an exchange of up to two copies of one request, of which the first good answer counts.
type hedge struct {
	fo       *Forwarder
	rq       *Request
	places   [2]*placement // the second is nil until its copy is sent
	cancels  [2]context.CancelFunc
	results  chan exchanged
	underWay int
}

// exchange sends a request to its endpoint and returns once the head of the answer has arrived. A
// request that may be hedged is sent to a second endpoint if the first one is slow; when that one
// answers first, the placement becomes its.
func (fo *Forwarder) exchange(ctx context.Context, rq *Request, pl *placement, out *ml.OutboundRequest) (*ml.Answer, error) {
	if !fo.mayHedge(rq) {
		return fo.Exchanger.Exchange(ctx, pl.lead, out)
	}
	start := time.Now()
	he := &hedge{fo: fo, rq: rq, results: make(chan exchanged, 2)}
	he.send(ctx, 0, pl, out)
	ti := time.NewTimer(fo.hedges.delay(rq.Service, rq.Route.Target))
	defer ti.Stop()
	best := he.wait(ctx, ti.C)
	if best.isGood() {
		fo.hedges.recordAnswer(rq.Service, time.Since(start))
	}
	he.finish(pl, &best)
	return best.answer, best.err
}

// mayHedge reports whether a request may be sent to two endpoints: a call that may be repeated, and
// has an attempt left for it.
func (fo *Forwarder) mayHedge(rq *Request) bool {
	return fo.HedgePerCent > 0 && rq.Route.Kind == ml.RouteSafe && rq.possibleRuns+2 <= rq.maxAttempts()
}

// send sends a copy of the request.
func (he *hedge) send(ctx context.Context, number int, pl *placement, out *ml.OutboundRequest) {
	ctx, he.cancels[number] = context.WithCancel(ctx)
	he.places[number] = pl
	he.underWay++
	go he.runCopy(ctx, number, pl.lead, out)
}

func (he *hedge) runCopy(ctx context.Context, number int, ep ml.ListedEndpoint, out *ml.OutboundRequest) {
	an, err := he.fo.Exchanger.Exchange(ctx, ep, out)
	he.results <- exchanged{an, err, number}
}

// wait returns the first good result, or the last one if there is none. It sends the second copy
// when the delay has passed.
func (he *hedge) wait(ctx context.Context, delayed <-chan time.Time) exchanged {
	for {
		select {
		case <-delayed:
			if pl := he.fo.placeHedge(time.Now(), he.rq, he.places[0]); pl != nil {
				out := he.rq.outgoing(pl)
				out.OnSent = he.fo.onSent(pl)
				he.send(ctx, 1, pl, out)
			}
		case ex := <-he.results:
			he.underWay--
			if ex.isGood() || he.underWay == 0 {
				return ex
			}
			ex.close() // the other copy may still be answered
		}
	}
}

// finish ends the copy that has lost, and makes the placement that of the other one. The second
// copy counts as an attempt that may have run.
func (he *hedge) finish(pl *placement, best *exchanged) {
	cancel := he.cancels[best.copy]
	if best.err == nil {
		closeAnswer := best.answer.Close
		best.answer.Close = func() {
			closeAnswer()
			cancel()
		}
	} else {
		cancel()
	}
	second := he.places[1]
	if second == nil {
		return
	}
	he.cancels[1-best.copy]()
	go he.runDiscard()
	he.rq.sendCount++
	he.rq.possibleRuns++
	he.rq.triedEndpoints = append(he.rq.triedEndpoints, he.places[1-best.copy].lead.ID)
	he.fo.Log.Info("hedged", "request", he.rq.Outgoing.Attempt, "endpoint", pl.lead.ID, "second", second.lead.ID, "secondWon", best.copy == 1)
	he.fo.Metrics.Hedged(he.rq, best.copy == 1)
	for _, copied := range he.places {
		he.fo.onSent(copied)() // it may have received a part, and answer before all is written
	}
	if best.copy == 1 {
		he.fo.endFlights(pl)
		pl.lead, pl.flights = second.lead, second.flights
		return
	}
	he.fo.endFlights(second)
}

// runDiscard closes the answer of the copy that has lost.
func (he *hedge) runDiscard() {
	for range he.underWay {
		ex := <-he.results
		ex.close()
	}
}

// placeHedge places a second copy of a request at another endpoint than the first, within the
// limits for second copies and retries. It returns nil if there is none with places to spare.
func (fo *Forwarder) placeHedge(now time.Time, rq *Request, first *placement) *placement {
	fo.hedges.mu.Lock()
	defer fo.hedges.mu.Unlock()
	busy, places := fo.places(now, rq.Service)
	if !fo.hedges.budget.MayTake(busy, places) {
		return nil
	}
	pl := fo.chooseService(now, rq, false, first.lead.ID)
	if pl == nil {
		return nil
	}
	if pl.running >= pl.lead.MaxRequests || !fo.allowRetry(now, rq.Service) {
		fo.endFlights(pl)
		return nil
	}
	fo.hedges.budget.Take()
	return pl
}

// places returns how many places of a service's usable endpoints are taken, as far as is known
// here, and how many there are.
func (fo *Forwarder) places(now time.Time, service ml.ServiceName) (busy, places int) {
	flights := fo.Tracker.Flights(now)
	for _, li := range fo.Catalog.Usable(now, service) {
		places += li.MaxRequests
		busy += len(flights[li.ID])
	}
	return busy, places
}
