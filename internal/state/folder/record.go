// Package folder builds state from the records of the platform's log: the
// fleet's configuration with its history, the planners' leases and the claims
// on idempotency keys. Every reader of the same log reaches the same state,
// regardless of page sizes, duplicate records and snapshots.
package folder

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// The kinds of records.
const (
	KindChange   = "change"
	KindSnapshot = "snapshot"
	KindClaim    = "claim"
	KindRelease  = "release"
	KindResult   = "result"
	KindLease    = "lease"
)

// Mark takes a failure domain or a VM out of service, or puts it back.
type Mark struct {
	Scope  string `json:"scope"` // "domain" or "vm"
	Name   string `json:"name"`
	Out    bool   `json:"out"`
	Reason string `json:"reason"`
}

// Change is an operator's change. Exactly one of Config, AddException,
// RemoveException and Mark is set.
type Change struct {
	Base            ml.Version            `json:"base"` // version that the change is based on
	By              string                `json:"by"`
	Config          *configurer.Config    `json:"config,omitempty"`
	AddException    *configurer.Exception `json:"addException,omitempty"`
	RemoveException string                `json:"removeException,omitempty"`
	Mark            *Mark                 `json:"mark,omitempty"`
}

// Check returns all faults of the change.
func (ch Change) Check() parser.Faults {
	switch {
	case ch.Config != nil:
		return ch.Config.Check()
	case ch.AddException != nil:
		return ch.AddException.Check()
	case ch.RemoveException != "":
		return nil
	case ch.Mark != nil:
		return ch.Mark.Check()
	}
	return parser.Faults{{Field: "change", Value: "nothing", Message: "must change something"}}
}

// Check returns all faults of the mark.
func (ma Mark) Check() parser.Faults {
	fs := parser.Faults{}
	if ma.Scope != "domain" && ma.Scope != "vm" {
		fs = append(fs, parser.Fault{Field: "scope", Value: ma.Scope, Message: "must be domain or vm"})
	}
	if ma.Name == "" {
		fs = append(fs, parser.Fault{Field: "name", Value: `""`, Message: "must not be empty"})
	}
	return fs
}

// Summary returns a short description of the change.
func (ch Change) Summary() string {
	switch {
	case ch.Config != nil:
		return "set configuration"
	case ch.AddException != nil:
		ex := ch.AddException
		return fmt.Sprintf("add exception %s = %s: %s", ex.Key(), ex.Value, ex.Reason)
	case ch.RemoveException != "":
		return "remove exception " + ch.RemoveException
	case ch.Mark != nil && ch.Mark.Out:
		return fmt.Sprintf("%s %s out: %s", ch.Mark.Scope, ch.Mark.Name, ch.Mark.Reason)
	case ch.Mark != nil:
		return fmt.Sprintf("%s %s in", ch.Mark.Scope, ch.Mark.Name)
	}
	return "nothing"
}

// Claim is the exclusive right to run a call that may not be repeated.
type Claim struct {
	Key              string       `json:"key"`     // from ClaimKey
	Attempt          ml.GrantID   `json:"attempt"` // attempt that claims the key
	VM               ml.VMID      `json:"vm"`
	CallHash         uint64       `json:"body"`             // from HashCall, to detect a reused key
	TTLMs            int64        `json:"lifeMs"`           // until the key may be claimed again
	AttemptTimeoutMs int64        `json:"untilMs"`          // time after the claim at which the attempt has ended
	ResultOffset     ml.Offset    `json:"result,omitempty"` // of the result's record
	Outcome          ClaimOutcome `json:"outcome,omitempty"`
	At               time.Time    `json:"at"` // time assigned by the log
}

// Expired reports whether the claim's key may be claimed again. Expiry follows
// the log's time. The margin allows for differences between clocks.
func (cl Claim) Expired(now time.Time) bool {
	const clockMargin = 2 * time.Second
	return now.After(cl.expiresAt().Add(clockMargin))
}

// ClaimOutcome is how the attempt that holds a claim ended.
type ClaimOutcome string

// The outcomes of claims.
const (
	ClaimOpen     ClaimOutcome = ""         // the attempt has not ended
	ClaimFinished ClaimOutcome = "finished" // the answer is in the log
	ClaimUnknown  ClaimOutcome = "unknown"  // the call may or may not have run
)

// Release gives up a claim: the attempt has not run and will not run.
type Release struct {
	Key     string     `json:"key"`
	Attempt ml.GrantID `json:"attempt"`
}

// Result records how an attempt ended.
type Result struct {
	Key     string            `json:"key"`
	Attempt ml.GrantID        `json:"attempt"`
	Outcome ClaimOutcome      `json:"outcome"`
	Answer  *ml.ServiceAnswer `json:"answer,omitempty"`
}

// Lease is a planner's lease on a place. The record's offset is its fencing
// number.
type Lease struct {
	Place   string           `json:"place"` // from ml.Place.String
	Holder  ml.VMID          `json:"holder"`
	TermMs  int64            `json:"termMs"`
	Fencing ml.FencingNumber `json:"fencing"`
	At      time.Time        `json:"at"` // time assigned by the log
}

// ClaimKey returns the key of a claim. It is unique for each team, service and
// idempotency key.
func ClaimKey(te ml.TeamID, se ml.ServiceName, key ml.IdempotencyKey) string {
	return fmt.Sprintf("%s/%s/%s", te, se, key)
}

// HashCall returns a hash of a call, by which a reused key is detected.
func HashCall(method, path string, body []byte) uint64 {
	di := xxhash.New()
	_, _ = di.WriteString(method + "\n" + path + "\n")
	_, _ = di.Write(body)
	return di.Sum64()
}

// NewRecord returns a record with the given id and body.
func NewRecord(id, kind string, body any) (ml.Record, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return ml.Record{}, fmt.Errorf("encode %s record: %w", kind, err)
	}
	return ml.Record{ID: id, Kind: kind, Body: data}, nil
}
