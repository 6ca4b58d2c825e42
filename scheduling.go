package mulberrylever

import (
	"context"
	"time"
)

// PlacementRequest asks another entry VM, the scheduler, where a request goes.
type PlacementRequest struct {
	QueuedRequest
	From   VMID     // the entry VM that asks
	Domain DomainID // its failure domain
	// Excluded holds the endpoints that must not get the request from that entry VM. If these
	// are most, Allowed holds the others instead.
	Excluded, Allowed []EndpointID
	// MaxIdleWait is how long the request waits while no endpoint can take it at all.
	MaxIdleWait time.Duration
	// IsProbe asks only whether an endpoint could take the request at once. Only earlier
	// releases ask that: the place may be gone by the time that they ask for it.
	IsProbe bool
	// IsImmediate asks for a place now or none at all: the request does not wait.
	IsImmediate bool
	// Replaces names a request whose flights end as this one is placed, so that they don't
	// count. It is empty for none.
	Replaces FlightID
	// Silence is the time since the latest event of a stream that looks for another engine, and
	// Patience that for which its caller waits for one. They are 0 for other requests.
	Silence, Patience time.Duration
}

// SharedPlacementRequest is a PlacementRequest in a message.
type SharedPlacementRequest struct {
	SharedQueuedRequest
	From          VMID         `json:"from"`
	Domain        DomainID     `json:"d,omitempty"`
	Excluded      []EndpointID `json:"x,omitempty"`
	Allowed       []EndpointID `json:"y,omitempty"`
	MaxIdleWaitMs int64        `json:"w,omitempty"`
	IsProbe       bool         `json:"t,omitempty"`
	IsImmediate   bool         `json:"now,omitempty"`
	Replaces      FlightID     `json:"rep,omitempty"`
	SilenceMs     int64        `json:"sil,omitempty"`
	PatienceMs    int64        `json:"pat,omitempty"`
	// ReplyWithinMs is the time after which the scheduler replies that the request waits,
	// if it has not decided by then.
	ReplyWithinMs int64 `json:"n,omitempty"`
}

// SharedPlacement is a scheduler's reply: a decision, or that there is none yet.
type SharedPlacement struct {
	IsWaiting    bool          `json:"waits,omitempty"`
	Refusal      string        `json:"refused,omitempty"` // why the request can't be served in time; empty for a placement
	RetryAfterMs int64         `json:"retryMs,omitempty"`
	Endpoints    []EndpointRef `json:"at,omitempty"` // the one that generates the answer, then the helpers
	HelperMemory Tokens        `json:"m,omitempty"`  // needed at each helper; 0 if the first endpoint holds the whole prompt
	FirstEventMs int64         `json:"f,omitempty"`  // predicted time until the first event
	Loss         float64       `json:"loss,omitempty"`
	Usable       int           `json:"seen,omitempty"` // endpoints that could take the request
	RecentSends  int           `json:"recent,omitempty"`
	IsCold       bool          `json:"cold,omitempty"`
	// StayMs is how long a silent stream stays at its engine, which is busy. Earlier releases
	// don't say it.
	StayMs int64 `json:"stay,omitempty"`
}

// EndpointRef names an incarnation of an endpoint.
type EndpointRef struct {
	ID          EndpointID  `json:"e"`
	Incarnation Incarnation `json:"i,omitempty"`
}

// SchedulerPeers asks other entry VMs to place requests.
type SchedulerPeers interface {
	// Schedule returns the decision of the scheduler at an address, or that it has none yet.
	// A repeated call for the same request keeps it waiting there.
	Schedule(ctx context.Context, address string, rq SharedPlacementRequest) (SharedPlacement, error)
}

// ScheduleHandler places requests for other entry VMs.
type ScheduleHandler interface {
	OnSchedule(ctx context.Context, rq SharedPlacementRequest) SharedPlacement
}
