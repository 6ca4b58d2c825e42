package mulberrylever

import "time"

// RouteName names a route.
type RouteName string

// RegionID names a region, a group of failure domains.
type RegionID string

// AttemptID names one attempt of a caller. The caller chooses it; endpoints
// repeat it in their answers.
type AttemptID string

// EventID is the number of an event within its stream.
type EventID int64

// Priority ranks requests: 0 is the most urgent.
type Priority int

// RouteKind tells what may be repeated on a route.
type RouteKind int

// The kinds of routes.
const (
	RouteUnsafe RouteKind = iota // runs at most once
	RouteSafe                    // idempotent
	RouteStream                  // answered by a stream of events
)

// String returns the name used in logs and metrics.
func (rk RouteKind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[rk]
}

// Route tells where requests of one host and path prefix go.
type Route struct {
	Name        RouteName
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        RouteKind
	Resumable   bool          // a stream may go on at another endpoint
	Timeout     time.Duration // a request is answered within this time
	Target      time.Duration // objective for the answer, or for a stream's first event
	GapTarget   time.Duration // objective for the pause between events
	MaxAttempts int           // endpoints that one request may run on
	Priority    Priority
	Public      bool // needs no key
	Services    []WeightedService
	Regions     []RegionID // where endpoints may stand; empty for anywhere
}

// Idempotent tells whether a request may run more than once.
func (ro *Route) Idempotent() bool {
	return ro.Kind == RouteSafe || ro.Kind == RouteStream && ro.Resumable
}

// WeightedService is one of the services that share a route's requests.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// ServiceSpec describes what the endpoints of one service have in common.
type ServiceSpec struct {
	Name           ServiceName
	MaxConnections int           // that an endpoint accepts from all callers together
	ColdPeriod     time.Duration // after a start
	ColdRate       float64       // requests a second that a cold endpoint carries; 0 for no limit
	Engine         *EngineProfile
}

// EngineProfile describe how fast the engines of one service work.
type EngineProfile struct {
	Slots                  int
	Memory                 Tokens        // KV cache
	StepsPerPass           int           // steps in one pass when anything is being generated
	Chunk                  Tokens        // prompt tokens read in one step at most
	Step                   time.Duration // one step
	StepPerSequence        time.Duration // more for each sequence that is generated
	StepPerKiloToken       time.Duration // more for each 1,000 tokens of such a sequence's context
	PrefillRate            float64       // prompt tokens a second
	PrefillPerMillionPairs time.Duration // more for a million pairs of a token and an earlier one
	ReportLag              time.Duration
	MeanAnswer             Tokens // mean length of answers
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// TeamKeys holds the access keys of one team.
type TeamKeys struct {
	Team     TeamID
	Keys     []string
	Priority *Priority // goes before the route's, where set
}

// ServingConfig is the whole configuration that operators publish.
type ServingConfig struct {
	Version  Version
	Routes   []Route
	Services []ServiceSpec
	Limits   CallerLimits
	Teams    []TeamKeys // empty when no keys are asked for
}

// ListedEndpoint is an endpoint as it has registered itself.
type ListedEndpoint struct {
	Endpoint
	Incarnation   Incarnation
	ColdRemaining time.Duration // from the moment it was read
}

// FlightID names one request at one endpoint. It is unique in the fleet.
type FlightID string

// Flight is a request that an entry VM has sent to an endpoint, and what the
// endpoint has to do for it.
type Flight struct {
	ID                 FlightID
	Endpoint           EndpointID
	SentAt             time.Time
	FirstEventAt       time.Time     // when the first event came; zero while the prompt is read
	PrefillTime        time.Duration // engine time for its part of the prompt
	DecodeTime         time.Duration // engine time for the answer, estimated
	Memory             Tokens        // at this endpoint
	FirstEventTarget   time.Time     // objective for the first event
	FirstEventDeadline time.Time     // the caller waits no longer for it; zero when not known
	GapTarget          time.Duration // objective for the pause between events
	Value              float64       // what the answer is worth to its caller
	Partial            bool          // a part of a prompt that several engines read
	Helper             bool          // such a part, of an answer that another engine gives
	LastEventAt        time.Time     // when the last event came
}

// QueuedRequest is a request that waits for a place at an engine.
type QueuedRequest struct {
	ID                 FlightID
	Service            ServiceName
	Prompt             Tokens
	Answer             Tokens // expected
	FirstEventTarget   time.Time
	FirstEventDeadline time.Time
	GapTarget          time.Duration
	Value              float64
	Rank               int64 // the least goes first; the same at all entry VMs
}

// Helper is a further engine that reads a part of a prompt.
type Helper struct {
	Endpoint Endpoint
	Hold     HoldID // memory set aside there; empty for none
}

// HoldID names memory that was set aside at an engine.
type HoldID string
