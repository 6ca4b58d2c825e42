// Package folder folds the platform's log into state: the fleet's
// configuration with its history, the planners' leases and the claims of
// idempotency keys. Every reader folds the same records to the same state,
// whatever the batches, repeats and snapshots.
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

// Mark takes a failure domain or a VM out of service, or back.
type Mark struct {
	Scope  string `json:"scope"` // "domain" or "vm"
	Name   string `json:"name"`
	Out    bool   `json:"out"`
	Reason string `json:"reason"`
}

// Change is an operator's change of the configuration. Exactly one of its
// parts is set.
type Change struct {
	Base            ml.Version            `json:"base"` // the version it was made against
	By              string                `json:"by"`
	Config          *configurer.Config    `json:"config,omitempty"`
	AddException    *configurer.Exception `json:"addException,omitempty"`
	RemoveException string                `json:"removeException,omitempty"`
	Mark            *Mark                 `json:"mark,omitempty"`
}

// Check returns everything wrong with the change.
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

// Check returns everything wrong with the mark.
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

// Summary says in a few words what the change does.
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

// Claim is the right to run one call that may not be repeated.
type Claim struct {
	Key              string       `json:"key"`     // from ClaimKey
	Attempt          ml.GrantID   `json:"attempt"` // who claims
	VM               ml.VMID      `json:"vm"`
	CallHash         uint64       `json:"body"` // hash of the call, to detect a reused key
	TTLMs            int64        `json:"lifeMs"`
	AttemptTimeoutMs int64        `json:"untilMs"` // the attempt ends this long after the claim
	ResultOffset     ml.Offset    `json:"result,omitempty"`
	Outcome          ClaimOutcome `json:"outcome,omitempty"`
	At               time.Time    `json:"at"` // when the log took it
}

// Expired tells whether the claim's key may be claimed anew. The log's own time
// decides; the margin allows for the difference of clocks.
func (cl Claim) Expired(now time.Time) bool {
	const margin = 2 * time.Second
	return now.After(cl.ends().Add(margin))
}

// ClaimOutcome tells how the attempt that holds a claim ended.
type ClaimOutcome string

// The outcomes of claims.
const (
	ClaimOpen     ClaimOutcome = ""
	ClaimFinished ClaimOutcome = "finished" // the answer is kept
	ClaimUnknown  ClaimOutcome = "unknown"  // it may or may not have run
)

// Release gives a claim back: the attempt has not run and never will.
type Release struct {
	Key     string     `json:"key"`
	Attempt ml.GrantID `json:"attempt"`
}

// Result is the end of an attempt.
type Result struct {
	Key     string            `json:"key"`
	Attempt ml.GrantID        `json:"attempt"`
	Outcome ClaimOutcome      `json:"outcome"`
	Answer  *ml.ServiceAnswer `json:"answer,omitempty"`
}

// Lease is a planner's lease on a failure domain. The record's offset is its
// fencing number.
type Lease struct {
	Place   string           `json:"place"` // what is planned, from ml.Place
	Holder  ml.VMID          `json:"holder"`
	TermMs  int64            `json:"termMs"`
	Fencing ml.FencingNumber `json:"fencing"`
	At      time.Time        `json:"at"` // when the log took it
}

// ClaimKey returns the name of a claim. Keys of different teams and services
// never meet.
func ClaimKey(te ml.TeamID, se ml.ServiceName, key ml.IdempotencyKey) string {
	return fmt.Sprintf("%s/%s/%s", te, se, key)
}

// HashCall returns the hash by which a reused key is detected.
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
