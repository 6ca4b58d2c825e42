package mulberrylever

import (
	"context"
	"encoding/json"
	"time"
)

// Clock is one VM's own clock: the time since its process began. Clocks of
// different VMs begin at different times and advance at the same rate.
type Clock struct {
	StartedAt time.Time
}

// Read returns the clock's reading at now.
func (cl Clock) Read(now time.Time) time.Duration { return now.Sub(cl.StartedAt) }

// EndpointLoad is how much an endpoint has been given, as its owner counts
// it. It travels with every heartbeat, hence the short names.
type EndpointLoad struct {
	Requests      int     `json:"r,omitempty"`
	Waiting       int     `json:"q,omitempty"`
	Window        int     `json:"w,omitempty"`
	Memory        Tokens  `json:"m,omitempty"` // in use
	LongPrompts   int     `json:"l,omitempty"` // long prompts running or waiting
	PrefillRate   float64 `json:"v,omitempty"` // prefill tokens a second
	MeanServiceMs int64   `json:"s,omitempty"` // average milliseconds of one request
	Cold          bool    `json:"c,omitempty"`

	// PrefillAhead holds the prompt tokens, not yet processed, that go before a new
	// prompt of each length.
	PrefillAhead [NumLengths]Tokens `json:"p,omitzero"`
}

// OwnedLoad is the load of one endpoint that the sender owns.
type OwnedLoad struct {
	Endpoint EndpointID   `json:"e"`
	Load     EndpointLoad `json:"l"`
}

// Heartbeat tells another entry VM that the sender is alive and what it owns.
type Heartbeat struct {
	From    VMID        `json:"from"`
	Domain  DomainID    `json:"domain"`
	Cell    CellID      `json:"cell,omitempty"`
	Address string      `json:"address"` // the sender's peer address
	Leaving bool        `json:"leaving,omitempty"`
	Version Version     `json:"version"` // of the configuration in force at the sender
	Loads   []OwnedLoad `json:"loads,omitempty"`
}

// Place returns where the sender stands.
func (hb Heartbeat) Place() Place { return Place{hb.Domain, hb.Cell} }

// HeartbeatAck answers a heartbeat.
type HeartbeatAck struct {
	Version Version       `json:"version"`
	Clock   time.Duration `json:"clock"` // the answering VM's own clock
}

// Reservation asks an endpoint's owner for a grant. Lengths of time are
// relative, since clocks differ.
type Reservation struct {
	ID             GrantID    `json:"id"`
	Endpoint       EndpointID `json:"endpoint"`
	Holder         VMID       `json:"holder"`
	Team           TeamID     `json:"team"`
	Weight         float64    `json:"weight"`
	Length         Length     `json:"length"`
	Prompt         Tokens     `json:"prompt"`
	Cached         Tokens     `json:"cached"`
	Memory         Tokens     `json:"memory"`
	Member         bool       `json:"member,omitempty"`
	DeadlineMs     int64      `json:"deadlineMs"` // until the answer must be complete
	MinDurationMs  int64      `json:"needsMs"`    // the answer takes at least this long
	GrantTimeoutMs int64      `json:"patienceMs"` // longest wait for the grant

	// MaxPredictedWaitMs is the longest predicted wait for which the asker does not
	// try another endpoint first; zero for any.
	MaxPredictedWaitMs int64 `json:"mostWaitMs,omitempty"`
}

// Grant answers a reservation.
type Grant struct {
	Granted      bool          `json:"granted"`
	Clock        time.Duration `json:"clock,omitempty"`       // the owner's own clock at the grant
	Incarnation  Incarnation   `json:"incarnation,omitempty"` // of the endpoint, as the owner knows it
	Type         ErrorType     `json:"type,omitempty"`        // of the refusal
	Reason       string        `json:"reason,omitempty"`
	RetryAfterMs int64         `json:"retryAfterMs,omitempty"`
}

// GrantEventKind tells what happened to a grant.
type GrantEventKind string

// The kinds of news.
const (
	GrantConfirmed GrantEventKind = "confirmed" // the endpoint accepted the request
	GrantStarted   GrantEventKind = "started"   // the first token came: the prompt is processed
	GrantKept      GrantEventKind = "kept"      // the holder still answers for it
	GrantReleased  GrantEventKind = "released"  // it has ended
)

// GrantOutcome tells how a grant ended.
type GrantOutcome string

// The outcomes of grants.
const (
	OutcomeCompleted      GrantOutcome = "completed" // the whole answer came
	OutcomeCancelled      GrantOutcome = "cancelled" // given up by the caller or the holder
	OutcomeEndpointFailed GrantOutcome = "broken"    // the endpoint broke off
	OutcomeUnsent         GrantOutcome = "unsent"    // never sent to the endpoint
)

// GrantEvent tells an owner what happened to a grant.
type GrantEvent struct {
	ID          GrantID        `json:"id"`
	Endpoint    EndpointID     `json:"endpoint"`
	Kind        GrantEventKind `json:"kind"`
	Incarnation Incarnation    `json:"incarnation,omitempty"`
	Outcome     GrantOutcome   `json:"outcome,omitempty"`
}

// NodeState is what a new entry VM takes over from a neighbour.
type NodeState struct {
	Fleet json.RawMessage `json:"fleet"`
	VMs   VMs             `json:"vms"`
}

// Peers reaches other entry VMs by their peer addresses.
type Peers interface {
	Heartbeat(ctx context.Context, address string, hb Heartbeat) (HeartbeatAck, error)
	Reserve(ctx context.Context, address string, re Reservation) (Grant, error)
	SendGrantEvents(ctx context.Context, address string, news []GrantEvent) error
	State(ctx context.Context, address string) (NodeState, error)
}

// PeerHandler answers other entry VMs.
type PeerHandler interface {
	OnHeartbeat(hb Heartbeat) HeartbeatAck
	OnReserve(ctx context.Context, re Reservation) Grant
	OnGrantEvents(news []GrantEvent)
	OnState() (NodeState, error)
}
