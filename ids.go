// Package mulberrylever defines the interfaces between the serving layer and the
// engines, services and platform services it uses, with their common ids, units,
// messages and errors. Implementations are in internal/ and platform/.
package mulberrylever

import (
	"cmp"
	"strings"
	"time"
)

// EndpointID identifies an endpoint (a model engine or a plain service) within
// a fleet.
type EndpointID string

// DomainID identifies a failure domain.
type DomainID string

// CellID identifies a part of a failure domain. A small failure domain is one
// cell with an empty name.
type CellID string

// Place is the location of a VM: its failure domain and cell. It never changes
// during the life of a VM. The entry VMs of a place own its endpoints.
type Place struct {
	Domain DomainID
	Cell   CellID
}

// String returns "domain/cell", or "domain" if the cell's name is empty.
func (pl Place) String() string {
	if pl.Cell == "" {
		return string(pl.Domain)
	}
	return string(pl.Domain) + "/" + string(pl.Cell)
}

// VMID identifies a VM.
type VMID string

// TeamID identifies a team, the unit of fair sharing.
type TeamID string

// ModelID identifies a model served by engines.
type ModelID string

// ServiceName names a plain service; several endpoints may serve it.
type ServiceName string

// RequestID identifies an admitted request within the fleet.
type RequestID string

// GrantID identifies one attempt of a request on one endpoint. It also
// identifies the attempt's stream at the engine.
type GrantID string

// Incarnation identifies one run of an endpoint's process. It changes on restart.
type Incarnation string

// IdempotencyKey identifies a call that must run at most once. The caller
// chooses it. It is unique within a team and service.
type IdempotencyKey string

// Tokens counts tokens of prompts, answers and engine memory.
type Tokens int64

// BytesPerToken is the average token size. It serves to estimate the length of a
// prompt that no engine has tokenized yet.
const BytesPerToken = 4

// EstimateTokens returns the estimated length of text.
func EstimateTokens(text string) Tokens {
	return Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// PartID identifies a part of a prompt, such as a system prompt or a document. The
// prompts of several requests may contain the same part.
type PartID string

// wholePrefix begins the ids of whole requests. No part of a prompt has a colon in its id.
const wholePrefix = "request:"

// WholeRequest returns the id of a request as a whole, for an id that all requests with
// the same path, team and body have in common.
func WholeRequest(id string) PartID { return PartID(wholePrefix + id) }

// IsWhole reports whether the id is that of a whole request.
func (pa PartID) IsWhole() bool { return strings.HasPrefix(string(pa), wholePrefix) }

// Offset is a position in the platform's log or in a topic of its store.
type Offset int64

// Era counts how often the platform's store has come back from an older copy of itself. What
// it held after that copy is gone, and offsets are given out again. It is 0 for a store that
// does not state it.
type Era int64

// UnknownEra is that of the offsets of entry VMs of earlier releases.
const UnknownEra Era = -1

// Position is a place in a topic of the platform's store: offsets of different eras can't be
// compared.
type Position struct {
	Era    Era    `json:"era,omitempty"`
	Offset Offset `json:"offset"`
}

// Compare returns a negative number if the position is before another one, a positive number
// if it is after it, and 0 if they are the same.
func (po Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(po.Era, other.Era), cmp.Compare(po.Offset, other.Offset))
}

// FencingNumber is a fencing token that orders the holders of a lease: the
// offset of the log record that granted the lease.
type FencingNumber int64

// Version is the version of a configuration: the offset of the last accepted
// change. Zero is the built-in default configuration.
type Version int64

// Length is a length class of prompts.
type Length int

// The length classes. Huge prompts exceed the memory of one engine.
const (
	Short Length = iota
	Medium
	Long
	Huge
)

// NumLengths is the number of length classes.
const NumLengths = 4

// String returns the length class as used in metrics and reports.
func (le Length) String() string {
	return [...]string{"short", "medium", "long", "huge"}[le]
}

// EndpointKind is a model engine or a plain service.
type EndpointKind string

// The kinds of endpoints.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// VMState is a VM's state in the platform's list.
type VMState string

// The states of VMs.
const (
	StateLive    VMState = "live"
	StateLeaving VMState = "leaving"
	StateAbsent  VMState = "absent"
)

// Endpoint describes an endpoint as listed by the platform.
type Endpoint struct {
	ID            EndpointID   `json:"id"`
	Domain        DomainID     `json:"domain"`
	Cell          CellID       `json:"cell,omitempty"`
	Kind          EndpointKind `json:"kind"`
	Address       string       `json:"address"`                 // host:port
	Model         ModelID      `json:"model,omitempty"`         // engines
	Service       ServiceName  `json:"service,omitempty"`       // services
	Memory        Tokens       `json:"memory,omitempty"`        // engines: KV cache capacity
	MaxRequests   int          `json:"maxRequests"`             // concurrency limit when warm
	ColdRequests  int          `json:"coldRequests"`            // concurrency limit when cold
	ColdTokens    Tokens       `json:"coldTokens,omitempty"`    // engines: limit of concurrent prompt tokens when cold
	ChecksFencing bool         `json:"checksFencing,omitempty"` // engines: rejects outdated fencing numbers
	State         VMState      `json:"state"`
}

// Place returns the location of the endpoint.
func (ep Endpoint) Place() Place { return Place{ep.Domain, ep.Cell} }

// EntryVM describes an entry VM as listed by the platform.
type EntryVM struct {
	ID           VMID     `json:"id"`
	Domain       DomainID `json:"domain"`
	Cell         CellID   `json:"cell,omitempty"`
	PeerAddress  string   `json:"peerAddress"`  // host:port for calls between entry VMs
	AdminAddress string   `json:"adminAddress"` // host:port of the admin API
	State        VMState  `json:"state"`
}

// Place returns the location of the entry VM.
func (en EntryVM) Place() Place { return Place{en.Domain, en.Cell} }

// VMs is the platform's list of VMs. It lags behind the actual state.
type VMs struct {
	Entries   []EntryVM  `json:"entries"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Timing holds the durations that ownership of endpoints depends on. Ownership
// is safe if DeadAfter is at least LeaseTerm plus Margin and all clocks advance
// at the same rate.
type Timing struct {
	Heartbeat time.Duration // interval of heartbeats to members of the same domain
	LeaseTerm time.Duration // duration of ownership after an acknowledged heartbeat
	DeadAfter time.Duration // time without heartbeats until a member is considered dead
	GrantTerm time.Duration // validity of an unused grant
	Margin    time.Duration // allowance for scheduling delays and clock drift
}

// DefaultTiming returns the durations used by every entry VM.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: 200 * time.Millisecond,
		LeaseTerm: time.Second,
		DeadAfter: 1500 * time.Millisecond,
		GrantTerm: 500 * time.Millisecond,
		Margin:    250 * time.Millisecond,
	}
}
