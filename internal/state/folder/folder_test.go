package folder_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

// init sets a fixed seed. -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var epoch = time.Unix(1_700_000_000, 0).UTC()

// history is a log of the platform and a state machine that has read all of it.
type history struct {
	records []ml.Record
	reader  folder.StateMachine
}

func (hi *history) append(t *rapid.T, id, kind string, body any) {
	re, err := folder.NewRecord(id, kind, body)
	if err != nil {
		t.Fatal(err)
	}
	re.Offset = ml.Offset(len(hi.records) + 1)
	re.Time = epoch.Add(time.Duration(re.Offset) * time.Second)
	hi.records = append(hi.records, re)
	if err := hi.reader.ApplyPage(hi.page(1, len(hi.records)+1)); err != nil {
		t.Fatal(err)
	}
}

// page returns the records from offset from up to, but not including, to. The
// log begins at from.
func (hi *history) page(from, to int) ml.LogPage {
	return ml.LogPage{
		First: ml.Offset(from), Next: ml.Offset(to), End: ml.Offset(len(hi.records) + 1),
		Records: slices.Clone(hi.records[from-1 : to-1]),
	}
}

// grow appends a random record: a change based on the newest or an old version,
// a duplicate, a claim, a release, a result, a lease or a snapshot.
func (hi *history) grow(t *rapid.T) {
	n := len(hi.records)
	id := fmt.Sprintf("r%d", n)
	attempt := ml.GrantID(fmt.Sprintf("t%d", rapid.IntRange(0, 6).Draw(t, "attempt")))
	key := fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(t, "key"))
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0, 1, 2:
		ch := folder.Change{By: "op", Mark: &folder.Mark{Scope: "domain", Name: key, Out: rapid.Bool().Draw(t, "out"), Reason: "r"}}
		ch.Base = hi.reader.Fleet().Version
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			ch.Base--
		}
		hi.append(t, id, folder.KindChange, ch)
	case 3:
		if n > 0 {
			old := hi.records[rapid.IntRange(0, n-1).Draw(t, "repeat")]
			hi.append(t, old.ID, old.Kind, old.Body)
		}
	case 4:
		hi.append(t, id, folder.KindClaim, folder.Claim{Key: key, Attempt: attempt, TTLMs: 20_000})
	case 5:
		hi.append(t, id, folder.KindRelease, folder.Release{Key: key, Attempt: attempt})
	case 6:
		hi.append(t, id, folder.KindResult, folder.Result{Key: key, Attempt: attempt, Outcome: folder.ClaimFinished})
	case 7:
		hi.append(t, id, folder.KindLease, folder.Lease{Place: "d", Holder: ml.VMID(attempt), TermMs: 3000})
	case 8:
		hi.append(t, id, folder.KindSnapshot, hi.reader.FleetSnapshot())
	}
}

// render formats the state that operators and callers depend on.
func render(sm *folder.StateMachine) string {
	fl := sm.Fleet()
	if fl == nil {
		return "nothing"
	}
	state := *fl
	state.AppliedOffset = 0
	data, _ := json.Marshal(state)
	out := string(data)
	for i := range 3 {
		claim, _ := json.Marshal(sm.Claim(fmt.Sprintf("k%d", i)))
		out += "\n" + string(claim)
	}
	lease, _ := sm.Lease(ml.Place{Domain: "d"})
	return out + fmt.Sprint("\n", lease)
}

// TestStateIndependentOfBatches guards against a state that depends on how the
// log is split into pages. It reads one log in random, overlapping pages and
// compares the state with that of a single pass.
func TestStateIndependentOfBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hi := &history{}
		hi.append(t, "first", folder.KindSnapshot, folder.NewFleet())
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			hi.grow(t)
		}
		sm := folder.StateMachine{}
		for at := 1; at <= len(hi.records); {
			to := rapid.IntRange(at+1, len(hi.records)+1).Draw(t, "to")
			from := rapid.IntRange(1, at).Draw(t, "from")
			pa := hi.page(from, to)
			pa.First = 1
			if err := sm.ApplyPage(pa); err != nil {
				t.Fatal(err)
			}
			at = to
		}
		if got, want := render(&sm), render(&hi.reader); got != want {
			t.Fatalf("state after reading in batches:\n%s\nafter a single pass:\n%s", got, want)
		}
	})
}

// TestVersionNeverReverts guards against a configuration that reverts. It reads
// a log with gaps left by retention and installs neighbours' snapshots of any
// age. The version must never decrease, and each state must be one that was in
// force.
func TestVersionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hi := &history{}
		hi.append(t, "first", folder.KindSnapshot, folder.NewFleet())
		states := []*folder.Fleet{hi.reader.FleetSnapshot()}
		for range rapid.IntRange(5, 60).Draw(t, "records") {
			hi.grow(t)
			states = append(states, hi.reader.FleetSnapshot())
		}
		want := make(map[ml.Version]string)
		for _, fl := range states {
			want[fl.Version] = domainsOut(fl)
		}
		sm := folder.StateMachine{}
		last := ml.Version(-1)
		check := func() {
			fl := sm.Fleet()
			if fl == nil {
				return
			}
			if fl.Version < last {
				t.Fatalf("version %d after %d", fl.Version, last)
			}
			if got := domainsOut(fl); got != want[fl.Version] {
				t.Fatalf("version %d has domains out %s, want %s", fl.Version, got, want[fl.Version])
			}
			last = fl.Version
		}
		at := 1
		for at <= len(hi.records) {
			first := rapid.IntRange(at, len(hi.records)).Draw(t, "first")
			to := rapid.IntRange(first+1, len(hi.records)+1).Draw(t, "to")
			if rapid.Bool().Draw(t, "neighbour") {
				sm.InstallSnapshot(states[rapid.IntRange(0, len(states)-1).Draw(t, "age")])
				check()
			}
			if err := sm.ApplyPage(hi.page(first, to)); err != nil {
				t.Fatal(err)
			}
			check()
			at = to
		}
	})
}

func domainsOut(fl *folder.Fleet) string {
	data, _ := json.Marshal(fl.DomainsOut)
	return string(data)
}

// TestSingleClaimHolder checks that only the attempt that holds a key can
// finish it, and that a stored answer is kept until the key expires.
func TestSingleClaimHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hi := &history{}
		hi.append(t, "first", folder.KindSnapshot, folder.NewFleet())
		holders := make(map[string]folder.Claim)
		for range rapid.IntRange(5, 80).Draw(t, "records") {
			hi.grow(t)
			now := epoch.Add(time.Duration(len(hi.records)) * time.Second)
			for i := range 3 {
				key := fmt.Sprintf("k%d", i)
				old, cl := holders[key], hi.reader.Claim(key)
				kept := old.Outcome == folder.ClaimFinished && now.Before(old.At.Add(20*time.Second))
				if kept && (cl == nil || cl.Attempt != old.Attempt || cl.Outcome != folder.ClaimFinished) {
					t.Fatalf("key %s was finished by %s and is now %+v", key, old.Attempt, cl)
				}
				last := folder.Result{}
				_ = json.Unmarshal(hi.records[len(hi.records)-1].Body, &last)
				if old.Attempt != "" && old.Outcome == folder.ClaimOpen && cl != nil && cl.Outcome != old.Outcome && last.Attempt != old.Attempt {
					t.Fatalf("key %s of %s was finished by %s", key, old.Attempt, last.Attempt)
				}
				delete(holders, key)
				if cl != nil {
					holders[key] = *cl
				}
			}
		}
	})
}

// TestConflictingChanges checks that the second of two changes based on the
// same version is rejected, with a reason that names the first change.
func TestConflictingChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	one := configurer.Exception{Scope: "team", Name: "a", Field: "weight", Value: json.RawMessage("2"), Reason: "busy"}
	fl := folder.NewFleet()
	fl = fl.Apply(ml.Record{ID: "1", Offset: 5}, folder.Change{By: "ana", AddException: &one})
	fl = fl.Apply(ml.Record{ID: "2", Offset: 6}, folder.Change{By: "ben", Mark: &folder.Mark{Scope: "vm", Name: "x", Out: true, Reason: "r"}})
	ou, found := fl.Outcome("2")
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(ou.Accepted).To(gomega.BeFalse())
	g.Expect(ou.RejectionReason).To(gomega.Equal("made against version 0, but version 5 came first (add exception team/a/weight = 2: busy, by ana)"))
	g.Expect(fl.Version).To(gomega.Equal(ml.Version(5)))
	g.Expect(fl.VMsOut).To(gomega.BeEmpty())
}

// FuzzApplyPage checks that a record of any kind and body is read without an error
// and leaves the fleet state known.
func FuzzApplyPage(f *testing.F) {
	f.Add(folder.KindChange, []byte(`{"base":0,"mark":{"scope":"domain","name":"d","out":true}}`))
	f.Add(folder.KindClaim, []byte(`{"key":"k","attempt":"a","lifeMs":-5}`))
	f.Add(folder.KindSnapshot, []byte(`null`))
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		sm := folder.StateMachine{}
		pa := ml.LogPage{First: 1, Next: 2, End: 2, Records: []ml.Record{{Offset: 1, ID: "x", Kind: kind, Body: body}}}
		if err := sm.ApplyPage(pa); err != nil {
			t.Fatal(err)
		}
		if sm.NextOffset() != 2 || sm.Fleet() == nil {
			t.Fatalf("next %d, fleet %v", sm.NextOffset(), sm.Fleet())
		}
	})
}
