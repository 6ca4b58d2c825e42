package folder

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

// StateMachine applies records in the order of their offsets. The zero value
// has read nothing. It is not safe for concurrent use, but the states that it
// returns are immutable.
type StateMachine struct {
	fleet   *Fleet
	pending []ml.Record // changes read before a usable snapshot
	first   ml.Offset   // first offset that could be read
	next    ml.Offset   // next offset to read
	gap     bool        // retention removed records before they were read
	claims  claims
	leases  map[string]Lease // by place
}

// Fleet returns the fleet state, or nil until it is known.
func (sm *StateMachine) Fleet() *Fleet { return sm.fleet }

// NextOffset returns the offset of the next record to read.
func (sm *StateMachine) NextOffset() ml.Offset { return sm.next }

// Lease returns the newest lease on a place.
func (sm *StateMachine) Lease(pl ml.Place) (Lease, bool) {
	le, found := sm.leases[pl.String()]
	return le, found
}

// Claim returns the claim on a key, or nil if the key is not claimed.
func (sm *StateMachine) Claim(key string) *Claim { return sm.claims.byKey[key] }

// ClaimCount returns the number of claims in memory.
func (sm *StateMachine) ClaimCount() int { return len(sm.claims.byKey) }

// FleetSnapshot returns the fleet state with the offset up to which the log
// was applied. It is nil until the state is known.
func (sm *StateMachine) FleetSnapshot() *Fleet {
	if sm.fleet == nil || sm.gap {
		return sm.fleet
	}
	out := *sm.fleet
	out.AppliedOffset = max(out.AppliedOffset, sm.next-1)
	return &out
}

// InstallSnapshot replaces the fleet state by a snapshot that is newer and
// that leaves no gap to the records that could be read. It reports whether the
// snapshot was installed.
func (sm *StateMachine) InstallSnapshot(fl *Fleet) bool {
	if sm.fleet != nil && !mutator.Disabled(mutator.Versions) && (fl.AppliedOffset <= sm.fleet.AppliedOffset || fl.Version < sm.fleet.Version) {
		return false
	}
	if fl.AppliedOffset < sm.first-1 {
		return false
	}
	sm.fleet = fl
	sm.gap = false
	sm.applyPending()
	return true
}

// ApplyPage applies one page of the log. If the page starts after the next
// offset, retention has removed records. Changes are then applied only after a
// snapshot.
func (sm *StateMachine) ApplyPage(pa ml.LogPage) error {
	switch {
	case sm.next == 0:
		sm.start(pa.First)
	case pa.First > sm.next:
		sm.first = pa.First
		sm.gap = true
	}
	for _, re := range pa.Records {
		if re.Offset < sm.next {
			continue
		}
		if err := sm.applyRecord(re); err != nil {
			return err
		}
		sm.next = re.Offset + 1
	}
	sm.next = max(sm.next, pa.Next)
	return nil
}

// start sets the first offset that can be read. A snapshot that was installed
// before may end before it.
func (sm *StateMachine) start(first ml.Offset) {
	sm.first = first
	if first <= 1 && sm.fleet == nil {
		sm.fleet = NewFleet()
	}
	sm.gap = sm.fleet != nil && sm.fleet.AppliedOffset < first-1
}

func (sm *StateMachine) applyRecord(re ml.Record) error {
	var err error
	switch re.Kind {
	case KindChange:
		err = sm.applyChange(re)
	case KindSnapshot:
		err = sm.applySnapshot(re)
	case KindClaim:
		err = decode(re, func(cl Claim) { sm.claims.claim(re, cl) })
	case KindRelease:
		err = decode(re, func(rl Release) { sm.claims.release(re, rl) })
	case KindResult:
		err = decode(re, func(rs Result) { sm.claims.finish(re, rs) })
	case KindLease:
		err = decode(re, func(le Lease) { sm.applyLease(re, le) })
	}
	if err != nil {
		return fmt.Errorf("apply record %q at offset %d: %w", re.ID, re.Offset, err)
	}
	return nil
}

func (sm *StateMachine) applyChange(re ml.Record) error {
	if sm.fleet == nil || sm.gap {
		sm.pending = append(sm.pending, re)
		return nil
	}
	return decode(re, func(ch Change) { sm.fleet = sm.fleet.Apply(re, ch) })
}

// applySnapshot installs a snapshot if the state is not known without it.
func (sm *StateMachine) applySnapshot(re ml.Record) error {
	if sm.fleet != nil && !sm.gap {
		return nil
	}
	return decode(re, func(fl Fleet) { sm.InstallSnapshot(&fl) })
}

func (sm *StateMachine) applyPending() {
	pending := sm.pending
	sm.pending = nil
	for _, re := range pending {
		_ = sm.applyChange(re)
	}
}

// applyLease accepts a lease if the previous one has expired by the log's time
// or has the same holder.
func (sm *StateMachine) applyLease(re ml.Record, le Lease) {
	if sm.leases == nil {
		sm.leases = make(map[string]Lease)
	}
	old, found := sm.leases[le.Place]
	if found && old.Holder != le.Holder && re.Time.Before(old.At.Add(time.Duration(old.TermMs)*time.Millisecond)) {
		return
	}
	le.At, le.Fencing = re.Time, ml.FencingNumber(re.Offset)
	sm.leases[le.Place] = le
}

// decode calls apply with a record's body. It ignores a body that can't be
// decoded, since every reader has to ignore it.
func decode[T any](re ml.Record, apply func(T)) error {
	var body T
	if err := json.Unmarshal(re.Body, &body); err != nil {
		return nil //nolint:nilerr // the same for every reader
	}
	apply(body)
	return nil
}

func itoa(ve ml.Version) string { return strconv.FormatInt(int64(ve), 10) }
