// Package holder asks owners for grants and tells them what becomes of these.
package holder

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
)

const (
	// keepInterval is the time between two signs that grants are still held.
	keepInterval = time.Second
	// pulse is the time between two beats by which a pause of this process
	// is noticed.
	pulse = 20 * time.Millisecond
	// pauseLimit is the gap between beats that counts as a pause.
	pauseLimit = 200 * time.Millisecond
	// distrust is the time after a pause during which answers may have
	// waited for this process, so that their age is unknown.
	distrust = 300 * time.Millisecond
	// maxNews bounds the news that wait for one owner.
	maxNews = 4096
	// maxBatch bounds the news of one message.
	maxBatch = 256
	// tellTimeout bounds one message.
	tellTimeout = time.Second
	// answerMargin is added to the wait for an owner's answer.
	answerMargin = time.Second
)

var (
	pauses    = metrics.NewCounter("mulberrylever_pauses_total")
	newsLost  = metrics.NewCounter("mulberrylever_grant_news_lost_total")
	staleUses = metrics.NewCounter("mulberrylever_grants_too_old_total")
)

// errPaused means that a grant's age is unknown.
var errPaused = errors.New("this process was paused, the grant may be too old")

// Routes finds owners.
type Routes interface {
	Route(use func(ta *router.Table))
	PeerAddress(id ml.VMID) string
}

// LocalOwner answers for the endpoints that this VM owns.
type LocalOwner interface {
	OnReserve(ctx context.Context, re ml.Reservation) ml.Grant
	OnTell(news []ml.GrantNews)
}

// Holder holds grants.
type Holder struct {
	Self   ml.VMID
	Timing ml.Timing
	Peers  ml.Peers
	Routes Routes
	Owner  LocalOwner
	Log    *slog.Logger

	mu      sync.Mutex
	held    map[ml.GrantID]*Held
	senders map[ml.VMID]chan ml.GrantNews
	beat    time.Time
	gap     time.Time // end of the last pause
	ctx     context.Context
}

// Held is a grant in use.
type Held struct {
	ID          ml.GrantID
	Endpoint    ml.Endpoint
	Incarnation ml.Incarnation // as the owner knew it
	holder      *Holder
	sendBy      time.Time
	once        sync.Once
}

// New returns a holder whose messages end with ctx.
func New(ctx context.Context, self ml.VMID, ti ml.Timing) *Holder {
	return &Holder{
		Self: self, Timing: ti, held: make(map[ml.GrantID]*Held),
		senders: make(map[ml.VMID]chan ml.GrantNews), ctx: ctx,
	}
}

// String names the step in logs.
func (ho *Holder) String() string { return "grant holder" }

// Run beats and tells owners which grants are still held, until ctx ends.
func (ho *Holder) Run(ctx context.Context) error {
	ti := time.NewTicker(pulse)
	defer ti.Stop()
	kept := time.Now()
	for {
		now := time.Now()
		ho.tick(now)
		if now.Sub(kept) >= keepInterval {
			kept = now
			ho.keep()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
		}
	}
}

func (ho *Holder) tick(now time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if !ho.beat.IsZero() && now.Sub(ho.beat) > pauseLimit {
		pauses.Inc()
		ho.gap = now
	}
	ho.beat = now
}

// steady tells whether this process has run without a pause lately.
func (ho *Holder) steady(now time.Time) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return now.Sub(ho.beat) <= pauseLimit && now.Sub(ho.gap) > distrust
}

// Reserve asks the owner of ep for a grant and waits for it.
func (ho *Holder) Reserve(ctx context.Context, ep ml.Endpoint, owner ml.VMID, re ml.Reservation) (*Held, error) {
	patience := time.Duration(re.PatienceMs)*time.Millisecond + answerMargin
	wait, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	gr, err := ho.ask(wait, owner, re)
	now := time.Now()
	if err != nil {
		// The owner may still grant it: tell it that this VM won't use it.
		ho.tell(owner, ml.GrantNews{ID: re.ID, Endpoint: ep.ID, Kind: ml.NewsReleased, Outcome: ml.Unsent})
		return nil, &ml.Error{Type: ml.ErrUnavailable, Step: "reserve " + string(ep.ID), Peer: string(owner), NotRun: true, Err: err}
	}
	if !gr.Granted {
		return nil, &ml.Error{
			Type: gr.Type, Step: "reserve " + string(ep.ID), Peer: string(owner), NotRun: true,
			RetryAfter: time.Duration(gr.RetryAfterMs) * time.Millisecond, Err: errors.New(gr.Reason),
		}
	}
	he := &Held{ID: re.ID, Endpoint: ep, Incarnation: gr.Incarnation, holder: ho, sendBy: now.Add(ho.Timing.GrantTerm / 2)}
	if !ho.steady(now) {
		staleUses.Inc()
		ho.tell(owner, ml.GrantNews{ID: re.ID, Endpoint: ep.ID, Kind: ml.NewsReleased, Outcome: ml.Unsent})
		return nil, &ml.Error{Type: ml.ErrUnavailable, Step: "reserve " + string(ep.ID), Peer: string(owner), NotRun: true, Err: errPaused}
	}
	ho.mu.Lock()
	ho.held[he.ID] = he
	ho.mu.Unlock()
	return he, nil
}

func (ho *Holder) ask(ctx context.Context, owner ml.VMID, re ml.Reservation) (ml.Grant, error) {
	if owner == ho.Self {
		return ho.Owner.OnReserve(ctx, re), nil
	}
	address := ho.Routes.PeerAddress(owner)
	if address == "" {
		return ml.Grant{}, fmt.Errorf("no address of %q is known", owner)
	}
	return ho.Peers.Reserve(ctx, address, re)
}

// Usable returns an error when the grant is too old to be used.
func (he *Held) Usable(now time.Time) error {
	if now.After(he.sendBy) || !he.holder.steady(now) {
		staleUses.Inc()
		return &ml.Error{Type: ml.ErrUnavailable, Step: "use grant", Peer: string(he.Endpoint.ID), NotRun: true, Err: errPaused}
	}
	return nil
}

// Confirm tells the owner that the endpoint has accepted the request.
func (he *Held) Confirm(in ml.Incarnation) {
	he.holder.tellOwner(ml.GrantNews{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.NewsConfirmed, Incarnation: in})
}

// Release tells the owner that the grant has ended. Only the first call
// counts.
func (he *Held) Release(ou ml.GrantOutcome) {
	he.once.Do(func() {
		ho := he.holder
		ho.mu.Lock()
		delete(ho.held, he.ID)
		ho.mu.Unlock()
		ho.tellOwner(ml.GrantNews{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.NewsReleased, Outcome: ou})
	})
}

// keep tells the owners which grants are still held.
func (ho *Holder) keep() {
	ho.mu.Lock()
	news := make([]ml.GrantNews, 0, len(ho.held))
	for _, he := range ho.held {
		news = append(news, ml.GrantNews{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.NewsKept})
	}
	ho.mu.Unlock()
	for _, ne := range news {
		ho.tellOwner(ne)
	}
}

// tellOwner sends news to the endpoint's owner as known now; ownership may
// have changed since the grant.
func (ho *Holder) tellOwner(ne ml.GrantNews) {
	owner := ml.VMID("")
	ho.Routes.Route(func(ta *router.Table) { owner = ta.Owner(ne.Endpoint) })
	if owner != "" {
		ho.tell(owner, ne)
	}
}

func (ho *Holder) tell(owner ml.VMID, ne ml.GrantNews) {
	if owner == ho.Self {
		ho.Owner.OnTell([]ml.GrantNews{ne})
		return
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ring := ho.senders[owner]
	if ring == nil {
		ring = make(chan ml.GrantNews, maxNews)
		ho.senders[owner] = ring
		go func() { _ = ho.runSender(ho.ctx, owner, ring) }()
	}
	select {
	case ring <- ne:
	default:
		newsLost.Inc()
	}
}

// runSender sends the news for one owner in batches. News that can't be sent
// are dropped: the owner learns the same from the endpoint's own list.
func (ho *Holder) runSender(ctx context.Context, owner ml.VMID, ring <-chan ml.GrantNews) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ne := <-ring:
			batch := append(make([]ml.GrantNews, 0, 1+min(len(ring), maxBatch)), ne)
			for len(ring) > 0 && len(batch) < maxBatch {
				batch = append(batch, <-ring)
			}
			ho.send(ctx, owner, batch)
		}
	}
}

func (ho *Holder) send(ctx context.Context, owner ml.VMID, batch []ml.GrantNews) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if err := ho.Peers.Tell(ctx, ho.Routes.PeerAddress(owner), batch); err != nil {
		newsLost.Add(len(batch))
		ho.Log.Debug("tell owner", "peer", owner, "news", len(batch), "error", err)
	}
}

// InUse returns how many grants this VM holds.
func (ho *Holder) InUse() int {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return len(ho.held)
}

// Adopt answers for a grant that another VM, now gone, had asked for.
func (ho *Holder) Adopt(ep ml.Endpoint, id ml.GrantID, in ml.Incarnation) *Held {
	he := &Held{ID: id, Endpoint: ep, Incarnation: in, holder: ho}
	ho.mu.Lock()
	ho.held[id] = he
	ho.mu.Unlock()
	he.Confirm(in)
	return he
}
