package forwarder

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
	"github.com/mulberrylever/mulberrylever/internal/decision/placer"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

// Where tells where a request would go at a moment, and why. Nothing is sent or recorded.
type Where struct {
	Scheduler string            `json:"scheduler,omitempty"` // entry VM that decides in place of this one; empty for none
	Service   ml.ServiceName    `json:"service"`
	Rank      ml.Priority       `json:"rank"`
	Outcome   string            `json:"outcome"`
	At        []ml.EndpointID   `json:"at,omitempty"`      // the endpoint that answers, then the helpers
	FirstMs   int64             `json:"firstMs,omitempty"` // predicted time until the first event
	RetryMs   int64             `json:"retryMs,omitempty"`
	Loss      float64           `json:"loss,omitempty"`
	Value     float64           `json:"worth,omitempty"`
	Behind    bool              `json:"behind,omitempty"` // its team uses more than its share
	Waiting   int               `json:"waiting"`          // requests in the queue here
	Endpoints []EndpointOutlook `json:"endpoints"`
}

// EndpointOutlook tells why an endpoint may or may not get a request.
type EndpointOutlook struct {
	ID          ml.EndpointID `json:"id"`
	Domain      ml.DomainID   `json:"domain"`
	Running     int           `json:"running"`          // requests that are known to be there
	BusyMs      int64         `json:"busyMs"`           // predicted time until all prompts there are prefilled
	FailureRate float64       `json:"failing"`          // expected share of failures
	Reason      string        `json:"reason,omitempty"` // why it gets none; empty if it may get the request
}

// The outcomes of Where.
const (
	goesNow     = "goes now"
	waitsFor    = "waits"
	isRefused   = "is refused"
	wouldCarry  = "is handed to another entry VM, since all paths to the service are lost here"
	noEndpoints = "is refused: no endpoint can be used"
)

// Where returns where a request would go at now by what this entry VM knows. The request must not be
// forwarded.
func (fo *Forwarder) Where(now time.Time, rq *Request) Where {
	fo.deciding.Lock()
	defer fo.deciding.Unlock()
	wh := Where{Service: rq.Service, Rank: rq.Priority, Waiting: fo.QueueLength(), Endpoints: fo.outlooks(now, rq)}
	if address, found := fo.scheduler(now); found {
		wh.Scheduler = address
	}
	switch {
	case fo.mustCarry(now, rq):
		wh.Outcome = wouldCarry
	case rq.Route.Kind != ml.RouteStream || rq.Spec == nil || rq.Spec.Engine == nil:
		fo.whereCall(now, rq, &wh)
	default:
		fo.wherePrompt(now, rq, &wh)
	}
	return wh
}

// whereCall sets where a call of a plain service would go.
func (fo *Forwarder) whereCall(now time.Time, rq *Request, wh *Where) {
	candidates := fo.serviceCandidates(now, rq, false, "")
	at := placer.ChooseService(fo.Domain, candidates, 0)
	wh.Outcome = noEndpoints
	if at >= 0 {
		wh.Outcome, wh.At = goesNow, []ml.EndpointID{candidates[at].Endpoint.ID}
	}
}

// wherePrompt sets where a prompt would go.
func (fo *Forwarder) wherePrompt(now time.Time, rq *Request, wh *Where) {
	it := fo.newOwnItem(now, rq)
	ro := fo.newRound(now)
	_, ro.isExact = fo.isScheduled(now)
	rs := fo.service(ro, it.service)
	te := fo.runningByTeam(ro, it)
	te.AddWaiting(it.team, it.placerReq.Prompt+it.placerReq.Answer)
	candidates, _ := fo.candidatesFor(ro, it, rs)
	it.placerReq.IsExact, it.placerReq.SpareEngines = ro.isExact, fo.spareEngines(ro, it, rs)
	ch := it.choose(now, candidates)
	wh.Behind, wh.Loss, wh.Value = te.Behind()[it.team], ch.Loss, it.placerReq.Value
	switch {
	case ch.Refused:
		wh.Outcome, wh.RetryMs = isRefused, ch.RetryAfter.Milliseconds()
		return
	case ch.Wait:
		wh.Outcome = waitsFor
	default:
		wh.Outcome = goesNow
	}
	wh.FirstMs = ch.FirstEventAt.Sub(now).Milliseconds()
	if ch.Lead >= 0 {
		wh.At = append(wh.At, candidates[ch.Lead].Endpoint.ID)
	}
	for _, i := range ch.Helpers {
		wh.At = append(wh.At, candidates[i].Endpoint.ID)
	}
}

// outlooks returns why each endpoint of a request's service may or may not get it, by id.
func (fo *Forwarder) outlooks(now time.Time, rq *Request) []EndpointOutlook {
	flights := fo.Tracker.Flights(now)
	out := []EndpointOutlook{}
	for _, li := range fo.Catalog.Usable(now, rq.Service) {
		es := forecaster.Predict(now, flights[li.ID])
		out = append(out, EndpointOutlook{
			ID: li.ID, Domain: li.Domain, Running: len(flights[li.ID]), BusyMs: es.Backlog(now).Milliseconds(),
			FailureRate: fo.Detector.FailureRate(now, li.ID, li.Incarnation), Reason: fo.whyNot(now, rq, li, &es),
		})
	}
	slices.SortFunc(out, func(a, b EndpointOutlook) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// whyNot returns why an endpoint gets no request of this entry VM now, or an empty string.
func (fo *Forwarder) whyNot(now time.Time, rq *Request, li cataloger.Listing, es *forecaster.EngineState) string {
	places := li.MaxRequests
	if rq.Spec != nil && rq.Spec.Engine != nil {
		places = rq.Spec.Engine.Slots
	}
	switch {
	case fo.isPaused(now, li.ListedEndpoint):
		return "has asked for a pause"
	case fo.statedShareUsed(now, li):
		return "the share of the limit that it states is used"
	case fo.coldRateReached(now, rq, li):
		return "the share of its rate while it is, or may be, cold is used"
	case fo.Detector.Unreachable(now, li.ID, li.Incarnation):
		return "could not be reached"
	case fo.Detector.Blocked(now, li.ID, li.Incarnation, len(es.Decoding)+len(es.Pending)):
		return "fails, and a trial request is running or was just sent"
	case es.UsedSlots() >= places:
		return "all places are taken"
	}
	return ""
}
