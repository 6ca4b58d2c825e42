package folder

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

// StateMachine folds records in the order of their offsets. The zero value has read
// nothing. It is not safe for concurrent use; the states that it returns never
// change.
type StateMachine struct {
	fleet   *Fleet
	pending []ml.Record // changes read before a usable snapshot
	first   ml.Offset   // first offset that was there to read
	next    ml.Offset   // where to read on
	gap     bool        // records were lost to retention before they were read
	claims  claims
	leases  map[string]Lease // by place
}

// Fleet returns the operators' state, or nil before enough was read.
func (fo *StateMachine) Fleet() *Fleet { return fo.fleet }

// NextOffset returns the offset to read on from.
func (fo *StateMachine) NextOffset() ml.Offset { return fo.next }

// Lease returns the newest lease on a place.
func (fo *StateMachine) Lease(pl ml.Place) (Lease, bool) {
	le, found := fo.leases[pl.String()]
	return le, found
}

// Claim returns the claim that holds a key. It is nil when nobody holds it.
func (fo *StateMachine) Claim(key string) *Claim { return fo.claims.byKey[key] }

// Claims returns how many claims are kept.
func (fo *StateMachine) Claims() int { return len(fo.claims.byKey) }

// FleetSnapshot returns the fleet state with the offset up to which it is folded, to
// be passed on. It is nil before enough was read.
func (fo *StateMachine) FleetSnapshot() *Fleet {
	if fo.fleet == nil || fo.gap {
		return fo.fleet
	}
	out := *fo.fleet
	out.AppliedOffset = max(out.AppliedOffset, fo.next-1)
	return &out
}

// InstallSnapshot takes over a fleet state that was passed on, when it is newer and
// leaves no gap to what was there to read. It tells whether it did.
func (fo *StateMachine) InstallSnapshot(fl *Fleet) bool {
	if fo.fleet != nil && !mutator.Disabled(mutator.Versions) && (fl.AppliedOffset <= fo.fleet.AppliedOffset || fl.Version < fo.fleet.Version) {
		return false
	}
	if fl.AppliedOffset < fo.first-1 {
		return false
	}
	fo.fleet = fl
	fo.gap = false
	fo.foldPending()
	return true
}

// ApplyPage folds one page of the log. A page that starts after the next offset
// means that records were lost to retention; changes are then only folded
// from a snapshot on.
func (fo *StateMachine) ApplyPage(pa ml.LogPage) error {
	switch {
	case fo.next == 0:
		fo.start(pa.First)
	case pa.First > fo.next:
		fo.first = pa.First
		fo.gap = true
	}
	for _, re := range pa.Records {
		if re.Offset < fo.next {
			continue
		}
		if err := fo.record(re); err != nil {
			return err
		}
		fo.next = re.Offset + 1
	}
	fo.next = max(fo.next, pa.Next)
	return nil
}

// start begins at the first offset that is still there. A state taken over
// before may reach less far than that.
func (fo *StateMachine) start(first ml.Offset) {
	fo.first = first
	if first <= 1 && fo.fleet == nil {
		fo.fleet = NewFleet()
	}
	fo.gap = fo.fleet != nil && fo.fleet.AppliedOffset < first-1
}

func (fo *StateMachine) record(re ml.Record) error {
	var err error
	switch re.Kind {
	case KindChange:
		err = fo.change(re)
	case KindSnapshot:
		err = fo.snapshot(re)
	case KindClaim:
		err = decode(re, func(cl Claim) { fo.claims.claim(re, cl) })
	case KindRelease:
		err = decode(re, func(rl Release) { fo.claims.release(re, rl) })
	case KindResult:
		err = decode(re, func(rs Result) { fo.claims.finish(re, rs) })
	case KindLease:
		err = decode(re, func(le Lease) { fo.lease(re, le) })
	}
	if err != nil {
		return fmt.Errorf("fold record %q at offset %d: %w", re.ID, re.Offset, err)
	}
	return nil
}

func (fo *StateMachine) change(re ml.Record) error {
	if fo.fleet == nil || fo.gap {
		fo.pending = append(fo.pending, re)
		return nil
	}
	return decode(re, func(ch Change) { fo.fleet = fo.fleet.Apply(re, ch) })
}

// snapshot takes over a snapshot where the state is not known without it.
func (fo *StateMachine) snapshot(re ml.Record) error {
	if fo.fleet != nil && !fo.gap {
		return nil
	}
	return decode(re, func(fl Fleet) { fo.InstallSnapshot(&fl) })
}

func (fo *StateMachine) foldPending() {
	waiting := fo.pending
	fo.pending = nil
	for _, re := range waiting {
		_ = fo.change(re)
	}
}

// lease takes a lease when the one before it has run out by the log's own
// time, or is held by the same holder.
func (fo *StateMachine) lease(re ml.Record, le Lease) {
	if fo.leases == nil {
		fo.leases = make(map[string]Lease)
	}
	old, held := fo.leases[le.Place]
	if held && old.Holder != le.Holder && re.Time.Before(old.At.Add(time.Duration(old.TermMs)*time.Millisecond)) {
		return
	}
	le.At, le.Fencing = re.Time, ml.FencingNumber(re.Offset)
	fo.leases[le.Place] = le
}

// decode reads a record's body. A body that no reader understands has no
// effect for any reader.
func decode[T any](re ml.Record, use func(T)) error {
	var body T
	if err := json.Unmarshal(re.Body, &body); err != nil {
		return nil //nolint:nilerr // the same for every reader
	}
	use(body)
	return nil
}

func itoa(ve ml.Version) string { return strconv.FormatInt(int64(ve), 10) }
