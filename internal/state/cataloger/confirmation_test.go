package cataloger_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/attester"
)

// TestPartConfirmsNothing guards against a part of a topic that is taken for all of it: it must not
// confirm the configuration, tell that an endpoint is still listed, or end what an older copy of the
// store lacks.
func TestPartConfirmsNothing(t *testing.T) {
	const second = time.Second
	applyPart := func(rd attester.Read) func(*keyedStore, *gomega.WithT) {
		return func(ks *keyedStore, g *gomega.WithT) {
			ca := newCataloger()
			ks.list(start, ca)
			ks.restore(1)
			ks.list(start.Add(second), ca)
			later := start.Add(time.Hour)
			rd := rd
			rd.Topic, rd.From.Era, rd.Next.Era, rd.Current = "t", 2, 2, later
			ca.ApplyRead(later, &rd)
			g.Expect(ca.ConfirmedAt("t")).To(gomega.Equal(start.Add(second)))
			_, known := ca.ListedAfter(start.Add(2*second), "e", "1")
			g.Expect(known).To(gomega.BeFalse(), "listed")
			ca.DropOutdated(later)
			g.Expect(ca.Usable(later, "s")).To(gomega.BeEmpty(), "the domain is out of service")
		}
	}
	at := func(offset ml.Offset) ml.Position { return ml.Position{Offset: offset} }
	for name, check := range map[string]func(*keyedStore, *gomega.WithT){
		"part":        applyPart(attester.Read{From: at(1), Next: at(3), End: 9}),
		"empty part":  applyPart(attester.Read{From: at(1), Next: at(1), End: 9}),
		"after a gap": applyPart(attester.Read{From: at(5), Next: at(9), End: 9}),
	} {
		t.Run(name, func(t *testing.T) {
			ks := &keyedStore{era: 1}
			ks.put("e", "live@d")
			ks.put("out/d", "y")
			check(ks, gomega.NewWithT(t))
		})
	}
}

// TestOthersConfirm checks that the word of another entry VM counts only where this one has all keys
// of the topic and knows the same: not where it has just started, or has read a part of the topic.
func TestOthersConfirm(t *testing.T) {
	g := gomega.NewWithT(t)
	ca, other := newCataloger(), newCataloger()
	records := []ml.KeyRecord{record("out/a", "y", 0), record("out/b", "y", 1)}
	applyListing(start, other, ml.Position{Offset: 2}, records...)
	word := func() ml.Confirmation { return other.Confirmations(start.Add(time.Second))["t"] }
	ca.Merge(start, records, nil)
	g.Expect(ca.Confirm(start, "t", word())).To(gomega.BeFalse(), "has just started")
	g.Expect(ca.ConfirmedAt("t")).To(gomega.BeZero())
	applyListing(start, ca, ml.Position{Offset: 2}, records...)
	other.ApplyRead(start, readFrom(start.Add(time.Second), 2, 3, record("out/a", "", 2)))
	g.Expect(ca.Confirm(start, "t", word())).To(gomega.BeFalse(), "doesn't know the same")
	part := readFrom(start.Add(time.Hour), 2, 3, record("out/a", "", 2))
	part.End = 9
	ca.ApplyRead(start, part)
	g.Expect(ca.ConfirmedAt("t")).To(gomega.Equal(start))
	g.Expect(ca.Confirm(start.Add(time.Minute), "t", word())).To(gomega.BeTrue())
	g.Expect(ca.ConfirmedAt("t")).To(gomega.Equal(start.Add(time.Minute - time.Millisecond)))
}

// TestReadFromConfirmation checks from where a topic is read once another entry VM has confirmed it:
// from where that one has read it, but not where the digest leaves out what heartbeats say, or where the
// other one knows another era of the store.
func TestReadFromConfirmation(t *testing.T) {
	listed, later := ml.Position{Era: 2, Offset: 3}, ml.Position{Era: 2, Offset: 9}
	for name, td := range map[string]struct {
		records   []ml.KeyRecord
		next      *ml.Position
		confirms  bool
		readsFrom ml.Position
		era       ml.Era
	}{
		"same era":        {next: &later, confirms: true, readsFrom: later, era: 2},
		"earlier release": {next: nil, confirms: true, readsFrom: listed, era: 2},
		"earlier era":     {next: &ml.Position{Era: 1, Offset: 9}, readsFrom: listed, era: 2},
		"later era":       {next: &ml.Position{Era: 3, Offset: 1}, confirms: true, readsFrom: listed, era: 3},
		"endpoints":       {records: []ml.KeyRecord{record("e", "live@d", 1)}, next: &later, confirms: true, readsFrom: listed, era: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ca := newCataloger()
			applyListing(start, ca, listed, td.records...)
			digest := ca.Digests()["t"]
			g.Expect(ca.Confirm(start.Add(time.Second), "t", ml.Confirmation{Digest: digest, Next: td.next})).To(gomega.Equal(td.confirms))
			g.Expect(ca.ReadPosition("t")).To(gomega.Equal(td.readsFrom))
			g.Expect(ca.Era()).To(gomega.Equal(td.era))
		})
	}
}
