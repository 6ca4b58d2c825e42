// Package holder asks owners for grants and tells them what becomes of these.
package holder

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

const (
	// keepInterval is the time between two signs that grants are still held.
	keepInterval = time.Second
	// maxNews bounds the news that wait for one owner.
	maxNews = 4096
	// maxBatch bounds the news of one message.
	maxBatch = 256
	// tellTimeout bounds one message.
	tellTimeout = time.Second
	// knownFor is the time for which an owner that was heard of counts as
	// known to a holder that did not ask it itself.
	knownFor = 3 * time.Second
	// answerMargin is added to the wait for an owner's answer.
	answerMargin = time.Second
)

var (
	newsLost  = metrics.NewCounter("mulberrylever_grant_news_lost_total")
	staleUses = metrics.NewCounter("mulberrylever_grants_too_old_total")
)

// errTooOld means that the owner may have given the grant's place away.
var errTooOld = errors.New("the grant is too old to be used")

// Routes finds owners.
type Routes interface {
	Owner(ep ml.Endpoint, since time.Time, fallback ml.VMID) ml.VMID
	PeerAddress(id ml.VMID) string
	MaxAge(now time.Time, of ml.VMID, at time.Duration) (time.Duration, bool)
}

// LocalOwner answers for the endpoints that this VM owns.
type LocalOwner interface {
	OnReserve(ctx context.Context, re ml.Reservation) ml.Grant
	OnGrantEvents(news []ml.GrantEvent)
}

// Holder holds grants.
type Holder struct {
	Self      ml.VMID
	Timing    ml.Timing
	Peers     ml.Peers
	Directory Routes
	Owner     LocalOwner
	Log       *slog.Logger

	mu      sync.Mutex
	held    map[ml.GrantID]*HeldGrant
	senders map[ml.VMID]chan ml.GrantEvent
	ctx     context.Context
}

// HeldGrant is a grant in use.
type HeldGrant struct {
	ID          ml.GrantID
	Endpoint    ml.Endpoint
	Incarnation ml.Incarnation // as the owner knew it
	holder      *Holder
	owner       ml.VMID   // that gave the grant; empty when it is not known
	asked       time.Time // when that was known
	sendBy      time.Time
	started     sync.Once
	released    sync.Once
}

// New returns a holder whose messages end with ctx.
func New(ctx context.Context, self ml.VMID, ti ml.Timing) *Holder {
	return &Holder{
		Self: self, Timing: ti, held: make(map[ml.GrantID]*HeldGrant),
		senders: make(map[ml.VMID]chan ml.GrantEvent), ctx: ctx,
	}
}

// String names the step in logs.
func (ho *Holder) String() string { return "grant holder" }

// Run tells owners which grants are still held, until ctx ends.
func (ho *Holder) Run(ctx context.Context) error {
	return pacer.Every(ctx, keepInterval, func(time.Time) {
		ho.keep()
	})
}

// age returns the greatest age that a grant can have. It was given after this
// VM asked, and at a reading of the owner's clock that can be told in this
// VM's own time. A grant that waited for this process, or on a link, is old.
func (ho *Holder) age(now, asked time.Time, owner ml.VMID, gr ml.Grant) time.Duration {
	sinceAsked := now.Sub(asked)
	age, known := ho.Directory.MaxAge(now, owner, gr.Clock)
	if !known {
		return sinceAsked
	}
	return min(max(age, 0), sinceAsked)
}

// Reserve asks the owner of ep for a grant and waits for it.
func (ho *Holder) Reserve(ctx context.Context, ep ml.Endpoint, owner ml.VMID, re ml.Reservation) (*HeldGrant, error) {
	patience := time.Duration(re.GrantTimeoutMs)*time.Millisecond + answerMargin
	wait, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	asked := time.Now()
	gr, err := ho.ask(wait, owner, re)
	now := time.Now()
	if err != nil {
		// The owner may still grant it: tell it that this VM won't use it.
		ho.tell(owner, ml.GrantEvent{ID: re.ID, Endpoint: ep.ID, Kind: ml.GrantReleased, Outcome: ml.OutcomeUnsent})
		return nil, &ml.Error{Type: ml.ErrUnavailable, Step: "reserve " + string(ep.ID), Peer: string(owner), NotRun: true, Err: err}
	}
	if !gr.Granted {
		return nil, &ml.Error{
			Type: gr.Type, Step: "reserve " + string(ep.ID), Peer: string(owner), NotRun: true,
			RetryAfter: time.Duration(gr.RetryAfterMs) * time.Millisecond, Err: errors.New(gr.Reason),
		}
	}
	granted := now.Add(-ho.age(now, asked, owner, gr))
	he := &HeldGrant{ID: re.ID, Endpoint: ep, Incarnation: gr.Incarnation, holder: ho, owner: owner, asked: asked, sendBy: granted.Add(ho.Timing.GrantTerm)}
	if err := he.CheckUsable(now); err != nil {
		ho.tell(owner, ml.GrantEvent{ID: re.ID, Endpoint: ep.ID, Kind: ml.GrantReleased, Outcome: ml.OutcomeUnsent})
		return nil, err
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
	address := ho.Directory.PeerAddress(owner)
	if address == "" {
		return ml.Grant{}, fmt.Errorf("no address of %q is known", owner)
	}
	return ho.Peers.Reserve(ctx, address, re)
}

// CheckUsable returns an error when the grant is too old to be used.
func (he *HeldGrant) CheckUsable(now time.Time) error {
	if now.After(he.sendBy) {
		staleUses.Inc()
		return &ml.Error{Type: ml.ErrUnavailable, Step: "use grant", Peer: string(he.Endpoint.ID), NotRun: true, Err: errTooOld}
	}
	return nil
}

// Confirm tells the owner that the endpoint has accepted the request.
func (he *HeldGrant) Confirm(in ml.Incarnation) {
	he.tellOwner(ml.GrantEvent{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.GrantConfirmed, Incarnation: in})
}

// MarkStarted tells the owner that the first token came. Only the first call
// counts.
func (he *HeldGrant) MarkStarted() {
	he.started.Do(func() {
		he.tellOwner(ml.GrantEvent{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.GrantStarted})
	})
}

// Release tells the owner that the grant has ended. Only the first call
// counts.
func (he *HeldGrant) Release(ou ml.GrantOutcome) {
	he.released.Do(func() {
		ho := he.holder
		ho.mu.Lock()
		delete(ho.held, he.ID)
		ho.mu.Unlock()
		he.tellOwner(ml.GrantEvent{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.GrantReleased, Outcome: ou})
	})
}

// keep tells the owners which grants are still held.
func (ho *Holder) keep() {
	ho.mu.Lock()
	held := slices.Collect(maps.Values(ho.held))
	ho.mu.Unlock()
	for _, he := range held {
		he.tellOwner(ml.GrantEvent{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.GrantKept})
	}
}

// tellOwner sends news to the endpoint's owner as known now; ownership may
// have changed since the grant.
func (he *HeldGrant) tellOwner(ne ml.GrantEvent) {
	if owner := he.holder.Directory.Owner(he.Endpoint, he.asked, he.owner); owner != "" {
		he.holder.tell(owner, ne)
	}
}

func (ho *Holder) tell(owner ml.VMID, ne ml.GrantEvent) {
	if owner == ho.Self {
		ho.Owner.OnGrantEvents([]ml.GrantEvent{ne})
		return
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ring := ho.senders[owner]
	if ring == nil {
		ring = make(chan ml.GrantEvent, maxNews)
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
func (ho *Holder) runSender(ctx context.Context, owner ml.VMID, ring <-chan ml.GrantEvent) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ne := <-ring:
			batch := append(make([]ml.GrantEvent, 0, 1+min(len(ring), maxBatch)), ne)
			for len(ring) > 0 && len(batch) < maxBatch {
				batch = append(batch, <-ring)
			}
			ho.send(ctx, owner, batch)
		}
	}
}

func (ho *Holder) send(ctx context.Context, owner ml.VMID, batch []ml.GrantEvent) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if err := ho.Peers.SendGrantEvents(ctx, ho.Directory.PeerAddress(owner), batch); err != nil {
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
func (ho *Holder) Adopt(ep ml.Endpoint, id ml.GrantID, in ml.Incarnation) *HeldGrant {
	he := &HeldGrant{ID: id, Endpoint: ep, Incarnation: in, holder: ho, asked: time.Now().Add(-knownFor)}
	ho.mu.Lock()
	ho.held[id] = he
	ho.mu.Unlock()
	he.Confirm(in)
	return he
}
