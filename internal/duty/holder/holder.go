// Package holder reserves grants from the owners of endpoints for the requests
// of this entry VM. It reports to the owners when a grant is confirmed, started,
// still in use or released.
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
	// keepaliveInterval is the time between two keepalives for a grant.
	keepaliveInterval = time.Second
	// maxQueuedEvents bounds the grant events queued for one owner.
	maxQueuedEvents = 4096
	// maxBatchSize bounds the grant events in one message.
	maxBatchSize = 256
	// notifyTimeout bounds the sending of one message.
	notifyTimeout = time.Second
	// adoptedOwnerMaxAge is the age up to which the last known owner of an
	// endpoint is used for an adopted grant. Its owner is not known from a
	// reservation of this VM.
	adoptedOwnerMaxAge = 3 * time.Second
	// replyMargin is added to the requested wait, so that the owner's own
	// refusal arrives before this VM times out.
	replyMargin = time.Second
)

var (
	lostEvents  = metrics.NewCounter("mulberrylever_grant_news_lost_total")
	staleGrants = metrics.NewCounter("mulberrylever_grants_too_old_total")
)

// errGrantTooOld means that the owner may have granted the capacity to another
// request.
var errGrantTooOld = errors.New("the grant is too old to be used")

// OwnerDirectory finds the owners of endpoints and their addresses.
type OwnerDirectory interface {
	// Owner returns the owner of ep according to a heartbeat received at or
	// after since, or else the fallback. If that is empty, it returns the
	// expected owner.
	Owner(ep ml.Endpoint, since time.Time, fallback ml.VMID) ml.VMID
	// PeerAddress returns the address of an entry VM, or "" when unknown.
	PeerAddress(id ml.VMID) string
	// MaxAge returns the greatest possible age of a reading of another VM's
	// clock. The second result is false when the clocks were not compared yet.
	MaxAge(now time.Time, of ml.VMID, at time.Duration) (time.Duration, bool)
}

// LocalOwner is the owner of this VM's endpoints. It is called directly instead
// of over the network.
type LocalOwner interface {
	OnReserve(ctx context.Context, re ml.Reservation) ml.Grant
	OnGrantEvents(events []ml.GrantEvent)
}

// Holder reserves grants and keeps those in use.
type Holder struct {
	Self      ml.VMID
	Timing    ml.Timing
	Peers     ml.Peers
	Directory OwnerDirectory
	Owner     LocalOwner
	Log       *slog.Logger

	mu     sync.Mutex
	grants map[ml.GrantID]*HeldGrant
	queues map[ml.VMID]chan ml.GrantEvent
	ctx    context.Context
}

// HeldGrant is a grant in use.
type HeldGrant struct {
	ID           ml.GrantID
	Endpoint     ml.Endpoint
	Incarnation  ml.Incarnation // as known to the owner at the grant
	holder       *Holder
	owner        ml.VMID   // that made the grant; empty for an adopted one
	ownerKnownAt time.Time // an owner reported by a heartbeat since then replaces it
	usableUntil  time.Time // when the grant becomes too old to be used
	startedOnce  sync.Once
	releasedOnce sync.Once
}

// New returns a holder that sends messages to owners until ctx ends.
func New(ctx context.Context, self ml.VMID, ti ml.Timing) *Holder {
	return &Holder{
		Self: self, Timing: ti, grants: make(map[ml.GrantID]*HeldGrant),
		queues: make(map[ml.VMID]chan ml.GrantEvent), ctx: ctx,
	}
}

// String returns the component's name for logs.
func (ho *Holder) String() string { return "grant holder" }

// Run sends keepalives for the grants in use until ctx ends.
func (ho *Holder) Run(ctx context.Context) error {
	return pacer.Every(ctx, keepaliveInterval, func(time.Time) {
		ho.sendKeepalives()
	})
}

// grantAge returns an upper bound of a grant's age. The age is bounded by the
// time since this VM requested it and by the owner's clock reading at the grant,
// converted to this VM's clock. It includes the time that the grant spent on the
// network or waiting for this process.
func (ho *Holder) grantAge(now, requestedAt time.Time, owner ml.VMID, gr ml.Grant) time.Duration {
	sinceRequest := now.Sub(requestedAt)
	age, known := ho.Directory.MaxAge(now, owner, gr.Clock)
	if !known {
		return sinceRequest
	}
	return min(max(age, 0), sinceRequest)
}

// Reserve asks the owner of ep for a grant and waits for it.
func (ho *Holder) Reserve(ctx context.Context, ep ml.Endpoint, owner ml.VMID, re ml.Reservation) (*HeldGrant, error) {
	timeout := time.Duration(re.GrantTimeoutMs)*time.Millisecond + replyMargin
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestedAt := time.Now()
	gr, err := ho.requestGrant(requestCtx, owner, re)
	now := time.Now()
	if err != nil {
		// The owner may still grant it: release the grant unused.
		ho.notify(owner, ml.GrantEvent{ID: re.ID, Endpoint: ep.ID, Kind: ml.GrantReleased, Outcome: ml.OutcomeUnsent})
		return nil, &ml.Error{Type: ml.ErrUnavailable, Step: "reserve " + string(ep.ID), Peer: string(owner), NotRun: true, Err: err}
	}
	if !gr.Granted {
		return nil, &ml.Error{
			Type: gr.Type, Step: "reserve " + string(ep.ID), Peer: string(owner), NotRun: true,
			RetryAfter: time.Duration(gr.RetryAfterMs) * time.Millisecond, Err: errors.New(gr.Reason),
		}
	}
	granted := now.Add(-ho.grantAge(now, requestedAt, owner, gr))
	he := &HeldGrant{ID: re.ID, Endpoint: ep, Incarnation: gr.Incarnation, holder: ho, owner: owner, ownerKnownAt: requestedAt, usableUntil: granted.Add(ho.Timing.GrantTerm)}
	if err := he.CheckUsable(now); err != nil {
		ho.notify(owner, ml.GrantEvent{ID: re.ID, Endpoint: ep.ID, Kind: ml.GrantReleased, Outcome: ml.OutcomeUnsent})
		return nil, err
	}
	ho.mu.Lock()
	ho.grants[he.ID] = he
	ho.mu.Unlock()
	return he, nil
}

func (ho *Holder) requestGrant(ctx context.Context, owner ml.VMID, re ml.Reservation) (ml.Grant, error) {
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
	if now.After(he.usableUntil) {
		staleGrants.Inc()
		return &ml.Error{Type: ml.ErrUnavailable, Step: "use grant", Peer: string(he.Endpoint.ID), NotRun: true, Err: errGrantTooOld}
	}
	return nil
}

// Confirm tells the owner that the endpoint has accepted the request.
func (he *HeldGrant) Confirm(in ml.Incarnation) {
	he.notifyOwner(ml.GrantEvent{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.GrantConfirmed, Incarnation: in})
}

// MarkStarted tells the owner that the first token came. Further calls do
// nothing.
func (he *HeldGrant) MarkStarted() {
	he.startedOnce.Do(func() {
		he.notifyOwner(ml.GrantEvent{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.GrantStarted})
	})
}

// Release ends the grant and tells its owner. Further calls do nothing.
func (he *HeldGrant) Release(ou ml.GrantOutcome) {
	he.releasedOnce.Do(func() {
		ho := he.holder
		ho.mu.Lock()
		delete(ho.grants, he.ID)
		ho.mu.Unlock()
		he.notifyOwner(ml.GrantEvent{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.GrantReleased, Outcome: ou})
	})
}

// sendKeepalives sends keepalives for all grants in use.
func (ho *Holder) sendKeepalives() {
	ho.mu.Lock()
	grants := slices.Collect(maps.Values(ho.grants))
	ho.mu.Unlock()
	for _, he := range grants {
		he.notifyOwner(ml.GrantEvent{ID: he.ID, Endpoint: he.Endpoint.ID, Kind: ml.GrantKept})
	}
}

// notifyOwner notifies the endpoint's current owner, which may differ from the
// one that made the grant.
func (he *HeldGrant) notifyOwner(ev ml.GrantEvent) {
	if owner := he.holder.Directory.Owner(he.Endpoint, he.ownerKnownAt, he.owner); owner != "" {
		he.holder.notify(owner, ev)
	}
}

// notify queues an event for an owner, or drops it when the queue is full. The
// local owner is called directly.
func (ho *Holder) notify(owner ml.VMID, ev ml.GrantEvent) {
	if owner == ho.Self {
		ho.Owner.OnGrantEvents([]ml.GrantEvent{ev})
		return
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	queue := ho.queues[owner]
	if queue == nil {
		queue = make(chan ml.GrantEvent, maxQueuedEvents)
		ho.queues[owner] = queue
		go func() { _ = ho.runSender(ho.ctx, owner, queue) }()
	}
	select {
	case queue <- ev:
	default:
		lostEvents.Inc()
	}
}

// runSender sends the events for one owner in batches. Those that can't be sent
// are dropped, since the owner learns the same from the endpoint's reports.
func (ho *Holder) runSender(ctx context.Context, owner ml.VMID, queue <-chan ml.GrantEvent) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-queue:
			batch := append(make([]ml.GrantEvent, 0, 1+min(len(queue), maxBatchSize)), ev)
			for len(queue) > 0 && len(batch) < maxBatchSize {
				batch = append(batch, <-queue)
			}
			ho.send(ctx, owner, batch)
		}
	}
}

func (ho *Holder) send(ctx context.Context, owner ml.VMID, batch []ml.GrantEvent) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	if err := ho.Peers.SendGrantEvents(ctx, ho.Directory.PeerAddress(owner), batch); err != nil {
		lostEvents.Add(len(batch))
		ho.Log.Debug("notifying owner failed", "peer", owner, "news", len(batch), "error", err)
	}
}

// InUse returns the number of grants in use.
func (ho *Holder) InUse() int {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return len(ho.grants)
}

// Adopt takes over a grant that another entry VM, which no longer runs, had
// reserved.
func (ho *Holder) Adopt(ep ml.Endpoint, id ml.GrantID, in ml.Incarnation) *HeldGrant {
	he := &HeldGrant{ID: id, Endpoint: ep, Incarnation: in, holder: ho, ownerKnownAt: time.Now().Add(-adoptedOwnerMaxAge)}
	ho.mu.Lock()
	ho.grants[id] = he
	ho.mu.Unlock()
	he.Confirm(in)
	return he
}
