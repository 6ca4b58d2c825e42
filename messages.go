package mulberrylever

import (
	"context"
	"encoding/json"
	"time"
)

// Clock is the monotonic clock of one VM: the time since its process started.
// The clocks of VMs have different start times and advance at the same rate.
type Clock struct {
	StartedAt time.Time
}

// Read returns the clock's reading at now.
func (cl Clock) Read(now time.Time) time.Duration { return now.Sub(cl.StartedAt) }

// EndpointLoad is the load of an endpoint as counted by its owner. It is part of
// every heartbeat, hence the short JSON names.
type EndpointLoad struct {
	Requests      int     `json:"r,omitempty"` // granted
	Waiting       int     `json:"q,omitempty"` // queued for a grant
	Window        int     `json:"w,omitempty"` // concurrency limit in force
	Memory        Tokens  `json:"m,omitempty"` // in use
	LongPrompts   int     `json:"l,omitempty"` // granted or queued
	PrefillRate   float64 `json:"v,omitempty"` // tokens per second
	MeanServiceMs int64   `json:"s,omitempty"` // mean time from grant to release
	Cold          bool    `json:"c,omitempty"`

	// PrefillAhead holds, for each length class, the pending prompt tokens that
	// are processed before a new prompt of that class.
	PrefillAhead [NumLengths]Tokens `json:"p,omitzero"`
}

// OwnedLoad is the load of one endpoint that the sender owns.
type OwnedLoad struct {
	Endpoint EndpointID   `json:"e"`
	Load     EndpointLoad `json:"l"`
}

// Heartbeat reports that the sender is alive, and the load of the endpoints that
// it owns.
type Heartbeat struct {
	From    VMID        `json:"from"`
	Domain  DomainID    `json:"domain"`
	Cell    CellID      `json:"cell,omitempty"`
	Address string      `json:"address"`           // the sender's peer address
	Leaving bool        `json:"leaving,omitempty"` // the sender is shutting down
	Version Version     `json:"version"`           // of the configuration in force at the sender
	Loads   []OwnedLoad `json:"loads,omitempty"`
}

// Place returns the location of the sender.
func (hb Heartbeat) Place() Place { return Place{hb.Domain, hb.Cell} }

// HeartbeatAck acknowledges a heartbeat.
type HeartbeatAck struct {
	Version Version       `json:"version"` // of the configuration in force at the receiver
	Clock   time.Duration `json:"clock"`   // reading of the receiver's Clock
}

// Reservation asks an endpoint's owner for a grant. Times are relative, since
// clocks differ.
type Reservation struct {
	ID             GrantID    `json:"id"`
	Endpoint       EndpointID `json:"endpoint"`
	Holder         VMID       `json:"holder"`
	Team           TeamID     `json:"team"`
	Weight         float64    `json:"weight"`
	Length         Length     `json:"length"`
	Prompt         Tokens     `json:"prompt"`
	Cached         Tokens     `json:"cached"`           // prompt tokens in the prefix cache
	Memory         Tokens     `json:"memory"`           // to reserve
	Member         bool       `json:"member,omitempty"` // holds memory only, as a group member
	DeadlineMs     int64      `json:"deadlineMs"`       // time until the answer must be complete
	MinDurationMs  int64      `json:"needsMs"`          // minimum time to produce the answer
	GrantTimeoutMs int64      `json:"patienceMs"`       // maximum wait for the grant

	// MaxPredictedWaitMs is the predicted wait above which the owner answers
	// ErrBusy, so that the holder tries another endpoint first; zero for no
	// limit. With one, it also answers ErrBusy after GrantTimeoutMs.
	MaxPredictedWaitMs int64 `json:"mostWaitMs,omitempty"`
}

// Grant is the response to a reservation.
type Grant struct {
	Granted      bool          `json:"granted"`
	Clock        time.Duration `json:"clock,omitempty"`       // reading of the owner's Clock at the grant
	Incarnation  Incarnation   `json:"incarnation,omitempty"` // of the endpoint, as known to the owner
	Type         ErrorType     `json:"type,omitempty"`        // of the refusal
	Reason       string        `json:"reason,omitempty"`      // of the refusal
	RetryAfterMs int64         `json:"retryAfterMs,omitempty"`
}

// GrantEventKind is a step in the life of a grant.
type GrantEventKind string

// The kinds of grant events.
const (
	GrantConfirmed GrantEventKind = "confirmed" // the endpoint accepted the request
	GrantStarted   GrantEventKind = "started"   // the first token was received: prefill is done
	GrantKept      GrantEventKind = "kept"      // the holder still uses it
	GrantReleased  GrantEventKind = "released"  // the holder no longer uses it
)

// GrantOutcome is the way in which a grant ended.
type GrantOutcome string

// The outcomes of grants.
const (
	OutcomeCompleted      GrantOutcome = "completed" // the answer was received in full
	OutcomeCancelled      GrantOutcome = "cancelled" // cancelled by the caller or the holder
	OutcomeEndpointFailed GrantOutcome = "broken"    // the endpoint failed before the answer was complete
	OutcomeUnsent         GrantOutcome = "unsent"    // the request was never sent to the endpoint
)

// GrantEvent reports a step in the life of a grant to the endpoint's owner.
type GrantEvent struct {
	ID          GrantID        `json:"id"`
	Endpoint    EndpointID     `json:"endpoint"`
	Kind        GrantEventKind `json:"kind"`
	Incarnation Incarnation    `json:"incarnation,omitempty"`
	Outcome     GrantOutcome   `json:"outcome,omitempty"`
}

// NodeState is the initial state that a new entry VM fetches from another one.
type NodeState struct {
	Fleet json.RawMessage `json:"fleet"`
	VMs   VMs             `json:"vms"`
}

// Peers calls other entry VMs at their peer addresses.
type Peers interface {
	Heartbeat(ctx context.Context, address string, hb Heartbeat) (HeartbeatAck, error)
	Reserve(ctx context.Context, address string, re Reservation) (Grant, error)
	SendGrantEvents(ctx context.Context, address string, events []GrantEvent) error
	State(ctx context.Context, address string) (NodeState, error)
}

// PeerHandler handles calls of other entry VMs.
type PeerHandler interface {
	OnHeartbeat(hb Heartbeat) HeartbeatAck
	OnReserve(ctx context.Context, re Reservation) Grant
	OnGrantEvents(events []GrantEvent)
	OnState() (NodeState, error)
}
