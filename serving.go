package mulberrylever

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// RouteName identifies a route.
type RouteName string

// RegionID identifies a region, a group of failure domains.
type RegionID string

// AttemptID identifies one attempt of a caller. The caller chooses it, and
// endpoints echo it in their answers.
type AttemptID string

// EventID is the sequence number of an event in its stream.
type EventID int64

// Priority is the priority, or rank, of a request: 0 is the most urgent.
type Priority int

// MaxPriority is the least urgent priority.
const MaxPriority Priority = 9

// RankRange holds the ranks that the requests for a service may have.
type RankRange struct {
	Highest, Lowest           Priority // effective ones
	HighestRoute, LowestRoute Priority // of the routes
	HighestTeam, LowestTeam   Priority // of the teams that have one; 0 if none has
}

// Differ reports whether there is more than one rank.
func (rr RankRange) Differ() bool { return rr.Highest != rr.Lowest }

// RoutesDiffer reports whether the operators rank some kinds of requests above others.
func (rr RankRange) RoutesDiffer() bool { return rr.HighestRoute != rr.LowestRoute }

// RouteKind defines whether the requests of a route may be repeated.
type RouteKind int

// The kinds of routes.
const (
	RouteUnsafe RouteKind = iota // must run at most once
	RouteSafe                    // idempotent
	RouteStream                  // answered by an event stream
)

// String returns the kind as used in logs and metrics.
func (rk RouteKind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[rk]
}

// Route defines which services take the requests of a host and path prefix.
type Route struct {
	Name        RouteName
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        RouteKind
	Resumable   bool          // a stream may be resumed at another endpoint
	Timeout     time.Duration // limit for the complete answer
	Target      time.Duration // latency objective of the answer, or of a stream's first event
	GapTarget   time.Duration // objective for the pause between two events
	MaxAttempts int           // maximum number of endpoints that a request may run on
	Priority    Priority
	Public      bool // no access key is required
	Services    []WeightedService
	Regions     []RegionID // allowed regions of endpoints; empty for all
}

// Idempotent reports whether a request may run more than once.
func (ro *Route) Idempotent() bool {
	return ro.Kind == RouteSafe || ro.Kind == RouteStream && ro.Resumable
}

// LeadsTo reports whether requests of the route may go to a service.
func (ro *Route) LeadsTo(service ServiceName) bool {
	return slices.ContainsFunc(ro.Services, func(ws WeightedService) bool { return ws.Service == service })
}

// WeightedService is one of the services among which a route's requests are
// distributed by weight.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// ServiceSpec holds the common properties of the endpoints of one service.
type ServiceSpec struct {
	Name           ServiceName
	MaxConnections int           // accepted by one endpoint from all callers together
	ColdPeriod     time.Duration // time after its start during which an endpoint is cold
	ColdRate       float64       // requests per second that a cold endpoint sustains; 0 for no limit
	Engine         *EngineProfile
	Ranks          RankRange // of its requests
}

// EngineProfile describes the capacity and speed of the engines of one service.
// An engine works in steps: a step processes a chunk of a prompt and generates
// one token of each running sequence.
type EngineProfile struct {
	Slots                  int           // concurrent sequences
	Memory                 Tokens        // KV cache capacity
	StepsPerPass           int           // while any sequence is being generated; events are sent once per pass
	Chunk                  Tokens        // maximum prompt tokens processed in one step
	Step                   time.Duration // base time of one step
	StepPerSequence        time.Duration // added step time per running sequence
	StepPerKiloToken       time.Duration // added step time per 1,000 context tokens of the running sequences
	PrefillRate            float64       // prompt tokens per second, without the cost of attention
	PrefillPerMillionPairs time.Duration // added prefill time per million pairs of a token and an earlier one (attention)
	ReportLag              time.Duration // lag of load reports
	MeanAnswer             Tokens        // mean length of answers
}

// CallerLimits holds size limits and time-outs for callers' requests.
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
	Priority *Priority // overrides the route's; nil for none
}

// ServingConfig is the configuration published by the operators.
type ServingConfig struct {
	Version  Version
	Routes   []Route
	Services []ServiceSpec
	Limits   CallerLimits
	Teams    []TeamKeys // empty if no access keys are required
}

// ListedEndpoint is an endpoint as registered by itself.
type ListedEndpoint struct {
	Endpoint
	Incarnation   Incarnation
	ColdRemaining time.Duration // when the registration was read
	Sequence      int64         // counts the registrations of this incarnation; 0 if unknown
}

// FlightID identifies a flight or a queued request within the fleet.
type FlightID string

// flightSeparator separates the id of a request from the number of a flight.
const flightSeparator = "~"

// Flight returns the id of a request's flight with a number.
func (fi FlightID) Flight(number int) FlightID {
	return fi + flightSeparator + FlightID(strconv.Itoa(number))
}

// Request returns the id of the request that a flight belongs to.
func (fi FlightID) Request() FlightID {
	request, _, _ := strings.Cut(string(fi), flightSeparator)
	return FlightID(request)
}

// Flight is an in-flight request: sent to an endpoint by an entry VM, with the
// work that it causes there.
type Flight struct {
	ID                 FlightID
	Endpoint           EndpointID
	Team               TeamID
	SentAt             time.Time
	FirstEventAt       time.Time     // zero during prefill
	PrefillTime        time.Duration // engine time for the prompt, or for its part of the prompt
	DecodeTime         time.Duration // estimated engine time for the answer
	Memory             Tokens        // reserved at this endpoint
	FirstEventTarget   time.Time     // objective for the first event
	FirstEventDeadline time.Time     // the caller stops waiting for the first event; zero if unknown
	GapTarget          time.Duration // objective for the pause between two events
	Value              float64       // benefit of an answer in time, for weighing requests against each other
	Weight             float64       // factor of Value by the request's rank: less than 1 below the highest rank; 0 counts as 1
	Partial            bool          // one of several engines that prefill parts of the prompt
	Helper             bool          // Partial, and another engine generates the answer
	LastEventAt        time.Time     // time of the latest event, initially SentAt
	Scheduled          bool          // decided by this entry VM for another one
	Unreported         bool          // other entry VMs are not told of it
	Reserved           bool          // for a stream that is still at another engine
}

// Places returns how many of the engine's slots the flight takes: parts that are prefilled for
// another engine's answer take none.
func (fl *Flight) Places() int {
	if fl.Helper {
		return 0
	}
	return 1
}

// QueuedRequest is a request in an entry VM's queue that waits for an engine.
type QueuedRequest struct {
	ID                 FlightID
	Service            ServiceName
	Prompt             Tokens
	Answer             Tokens // expected length
	FirstEventTarget   time.Time
	FirstEventDeadline time.Time
	GapTarget          time.Duration
	Value              float64
	SortKey            int64 // sort key of the queue, lowest first; the same at all entry VMs
	// Priority is nil for a request of an entry VM of an earlier release, which doesn't say it.
	Priority *Priority
	Weight   float64 // as of a flight
	Team     TeamID
}

// Helper is an additional engine that prefills a part of a prompt.
type Helper struct {
	Endpoint Endpoint
	Hold     HoldID // memory reserved there; empty for none
}

// HoldID identifies a reservation of engine memory.
type HoldID string

// HoldUse tells whether a request uses reserved memory.
type HoldUse int

// The uses of reserved memory.
const (
	HoldUseUnknown HoldUse = iota // the engine does not say
	HoldUnused
	HoldUsed
)

// String returns the use as it stands in logs.
func (hu HoldUse) String() string {
	return [...]string{"unknown", "unused", "used"}[hu]
}

// Membership is an entry VM's view of the entry VMs of its failure domain.
type Membership struct {
	Version int64    // changes with every other field but Settled
	Self    string   // peer address of this entry VM
	Peers   []string // peer addresses of the others, and of those whose domain is not known yet
	// Settled reports whether this entry VM has been in touch for long enough to know
	// the others and to be known by them.
	Settled bool
}
