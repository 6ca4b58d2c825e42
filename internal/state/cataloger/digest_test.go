package cataloger_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
)

// TestDigests checks that two catalogs have equal digests if and only if they hold the same,
// whatever the order in which they got the records.
func TestDigests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		records, keys := []ml.KeyRecord{}, []string{"config", "out/a", "part/p", "e1", "e2"}
		for i := range rapid.IntRange(1, 12).Draw(rt, "records") {
			key := rapid.SampledFrom(keys).Draw(rt, "key")
			value := rapid.SampledFrom([]string{"", "live@a", "leaving@a", "live@b"}).Draw(rt, "value")
			if key == "config" {
				value = fmt.Sprint(i + 1)
			}
			records = append(records, record(key, value, ml.Offset(i)))
		}
		one, other := newCataloger(), newCataloger()
		one.Merge(start, records, nil)
		other.Merge(start, rapid.Permutation(records).Draw(rt, "order"), nil)
		if !maps.Equal(one.Digests(), other.Digests()) {
			rt.Fatalf("digests differ: %v, %v", one.Digests(), other.Digests())
		}
		missing := newCataloger()
		missing.Merge(start, records[:len(records)-1], nil)
		last, before := records[len(records)-1], ""
		for _, re := range records[:len(records)-1] {
			if re.Key == last.Key {
				before = string(re.Value)
			}
		}
		if differs := !maps.Equal(one.Digests(), missing.Digests()); differs != (before != string(last.Value)) {
			rt.Fatalf("without the last record %v, before which the key held %q: digests differ: %t", last, before, differs)
		}
	})
}

// TestHeartbeatsKeepDigest checks that a record that only says that an endpoint lives doesn't
// change the digest: entry VMs don't pass it on.
func TestHeartbeatsKeepDigest(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newCataloger()
	ca.Merge(start, []ml.KeyRecord{record("e1", "live@a", 1)}, nil)
	before := ca.Digests()
	ca.Merge(start, []ml.KeyRecord{record("e1", "live@a", 2)}, nil)
	g.Expect(ca.Digests()).To(gomega.Equal(before))
	ca.Merge(start, []ml.KeyRecord{record("e1", "leaving@a", 3)}, nil)
	g.Expect(ca.Digests()).NotTo(gomega.Equal(before))
}

// TestAdopt checks that an entry VM that has just started takes over a listing, and that one
// that has listed a topic itself doesn't.
func TestAdopt(t *testing.T) {
	g := gomega.NewWithT(t)
	old, fresh := newCataloger(), newCataloger()
	applyListing(start, old, ml.Position{Offset: 5}, record("e1", "live@a", 3))
	old.ApplyRead(start, readFrom(start, 5, 9, record("e2", "live@a", 6)))
	reply := old.RecordsFrom(nil)
	fresh.Merge(start, reply.Records, reply.Covered(nil))
	g.Expect(fresh.IsTopicListed("t")).To(gomega.BeFalse())
	fresh.Adopt(start, &reply)
	g.Expect(fresh.IsTopicListed("t")).To(gomega.BeTrue())
	g.Expect(fresh.ReadPosition("t")).To(gomega.Equal(ml.Position{Offset: 9}))
	g.Expect(fresh.Digests()).To(gomega.Equal(old.Digests()))

	fresh.ApplyRead(start, readFrom(start, 9, 20))
	older := old.RecordsFrom(nil)
	fresh.Adopt(start, &older)
	g.Expect(fresh.ReadPosition("t")).To(gomega.Equal(ml.Position{Offset: 20}), "what was read here counts")
}

// TestAdoptWithoutWhatIsGone guards against an endpoint that an entry VM which has just started goes on
// using, since it heard of it by a late message before it took over a listing without it.
func TestAdoptWithoutWhatIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	old, fresh := newCataloger(), newCataloger()
	applyListing(start, old, ml.Position{Offset: 5}, record("e1", "live@a", 3))
	fresh.Merge(start, []ml.KeyRecord{record("gone", "live@a", 1), record("new", "live@a", 6)}, nil)
	reply := old.RecordsFrom(fresh.ListedPositions())
	fresh.Merge(start, reply.Records, reply.Covered(nil))
	fresh.Adopt(start, &reply)
	usable := []ml.EndpointID{}
	for _, li := range fresh.Usable(start, "s") {
		usable = append(usable, li.ID)
	}
	g.Expect(usable).To(gomega.Equal([]ml.EndpointID{"e1", "new"}))
}

// TestRestartLearnsWhatLeft guards against an entry VM that was restarted, learns from another
// one and uses an endpoint that had left, or a key that had been withdrawn: deletions and
// states are passed on, and an older configuration that arrives late changes nothing.
func TestRestartLearnsWhatLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	old, restarted := newCataloger(), newCataloger()
	applyListing(start, old, ml.Position{Offset: 4}, record("config", "1", 0), record("gone", "live@a", 1), record("leaves", "live@a", 2), record("stays", "live@a", 3))
	old.ApplyRead(start, readFrom(start, 4, 7, record("gone", "", 4), record("leaves", "leaving@a", 5), record("config", "2", 6)))
	old.RecordDeparture(start, ml.Departure{Endpoint: "stays", Incarnation: "1"})

	reply := old.RecordsFrom(nil)
	restarted.Merge(start, reply.Records, reply.Covered(nil))
	for _, de := range old.Departures() {
		restarted.RecordDeparture(start, de)
	}
	g.Expect(restarted.Usable(start, "s")).To(gomega.BeEmpty())
	g.Expect(restarted.Version()).To(gomega.Equal(ml.Version(2)))
	restarted.Merge(start, []ml.KeyRecord{record("config", "1", 0), record("gone", "live@a", 1), record("leaves", "live@a", 2)}, nil)
	g.Expect(restarted.Usable(start, "s")).To(gomega.BeEmpty(), "of a peer that is behind")
	g.Expect(restarted.Version()).To(gomega.Equal(ml.Version(2)))
}
