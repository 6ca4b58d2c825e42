// Package mulberrylever holds the ports of the serving layer: the engines,
// services and platform services it meets, with the ids, units, messages and
// errors they share. Implementations are below internal/.
package mulberrylever

import "time"

// EndpointID names an endpoint (a model engine or a plain service). It is
// unique in one fleet.
type EndpointID string

// DomainID names a failure domain.
type DomainID string

// CellID names a part of a failure domain. Small failure domains are one cell
// with an empty name.
type CellID string

// Place is where a VM stands. The entry VMs of a place own its endpoints. It
// stays the same for the whole life of a VM.
type Place struct {
	Domain DomainID
	Cell   CellID
}

// String returns the place's name: that of the failure domain, with the cell's
// when it has one.
func (pl Place) String() string {
	if pl.Cell == "" {
		return string(pl.Domain)
	}
	return string(pl.Domain) + "/" + string(pl.Cell)
}

// VMID names a VM.
type VMID string

// TeamID names a team, the unit of fair sharing.
type TeamID string

// ModelID names a model served by engines.
type ModelID string

// ServiceName names a plain service; several endpoints may serve it.
type ServiceName string

// RequestID names one admitted request. It is unique in the fleet.
type RequestID string

// GrantID names one attempt of a request on one endpoint. The engine knows
// the attempt's stream by this id.
type GrantID string

// Incarnation names one life of an engine process. It changes on restart.
type Incarnation string

// IdempotencyKey names a call that must run at most once. It is chosen by
// the caller and unique within a team and service.
type IdempotencyKey string

// Tokens counts tokens of prompts, answers and engine memory.
type Tokens int64

// BytesPerToken is the average token size used to estimate a prompt's length
// before an engine has counted it.
const BytesPerToken = 4

// EstimateTokens returns the estimated length of text.
func EstimateTokens(text string) Tokens {
	return Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// Offset is a position in the platform's log.
type Offset int64

// FencingNumber orders the holders of a lease. It is the offset of the log
// record that granted the lease.
type FencingNumber int64

// Version orders configurations. It is the offset of the last accepted
// change; zero is the built-in default configuration.
type Version int64

// Length groups prompts of similar length.
type Length int

// The lengths of prompts, from few tokens to more than one engine holds.
const (
	Short Length = iota
	Medium
	Long
	Huge
)

// NumLengths counts the values of Length.
const NumLengths = 4

// String returns the name used in metrics and reports.
func (le Length) String() string {
	return [...]string{"short", "medium", "long", "huge"}[le]
}

// EndpointKind tells model engines from plain services.
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
	Memory        Tokens       `json:"memory,omitempty"`        // engines: KV capacity
	MaxRequests   int          `json:"maxRequests"`             // carried at once when warm
	ColdRequests  int          `json:"coldRequests"`            // carried at once when cold
	ColdTokens    Tokens       `json:"coldTokens,omitempty"`    // engines: prompt tokens carried when cold
	ChecksFencing bool         `json:"checksFencing,omitempty"` // engines: refuses old fencing numbers
	State         VMState      `json:"state"`
}

// Place returns where the endpoint stands.
func (ep Endpoint) Place() Place { return Place{ep.Domain, ep.Cell} }

// EntryVM describes an entry VM as listed by the platform.
type EntryVM struct {
	ID           VMID     `json:"id"`
	Domain       DomainID `json:"domain"`
	Cell         CellID   `json:"cell,omitempty"`
	PeerAddress  string   `json:"peerAddress"`  // host:port, calls between entry VMs
	AdminAddress string   `json:"adminAddress"` // host:port, operators' interface
	State        VMState  `json:"state"`
}

// Place returns where the entry VM stands.
func (en EntryVM) Place() Place { return Place{en.Domain, en.Cell} }

// VMs is the platform's list of VMs. It lags behind the truth.
type VMs struct {
	Entries   []EntryVM  `json:"entries"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Timing holds the lengths of time on which ownership of endpoints depends.
// Ownership is safe when DeadAfter is at least LeaseTerm plus Margin on
// clocks that advance at the same rate.
type Timing struct {
	Heartbeat time.Duration // between heartbeats to members of the same domain
	LeaseTerm time.Duration // an acknowledged heartbeat's worth of ownership
	DeadAfter time.Duration // silence after which a member counts as dead
	GrantTerm time.Duration // a grant must be used within this time
	Margin    time.Duration // allowance for scheduling and clock drift
}

// DefaultTiming returns the lengths of time used by every entry VM.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: 200 * time.Millisecond,
		LeaseTerm: time.Second,
		DeadAfter: 1500 * time.Millisecond,
		GrantTerm: 500 * time.Millisecond,
		Margin:    250 * time.Millisecond,
	}
}
