package cataloger_test

import (
	"errors"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/attester"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

var start = time.Unix(1000, 0)

// textDecoder decodes records written as text: a configuration is its version, an
// endpoint is state@domain.
type textDecoder struct{}

func (textDecoder) Config(re ml.KeyRecord) (ml.ServingConfig, bool, error) {
	if re.Key != "config" {
		return ml.ServingConfig{}, false, nil
	}
	n, err := strconv.Atoi(string(re.Value))
	return ml.ServingConfig{Version: ml.Version(n)}, true, err
}

func (textDecoder) Domain(re ml.KeyRecord) (ml.DomainID, bool) {
	do, found := strings.CutPrefix(re.Key, "out/")
	return ml.DomainID(do), found
}

func (textDecoder) Part(re ml.KeyRecord) (ml.PartID, ml.PartState, bool) {
	id, found := strings.CutPrefix(re.Key, "part/")
	return ml.PartID(id), ml.PartState{Blocked: re.Value != nil}, found
}

func (textDecoder) Endpoint(re ml.KeyRecord) (ml.ListedEndpoint, bool, error) {
	state, domain, found := strings.Cut(string(re.Value), "@")
	if !found {
		return ml.ListedEndpoint{}, false, errors.New("want state@domain")
	}
	ep := ml.Endpoint{ID: ml.EndpointID(re.Key), Service: "s", State: ml.VMState(state), Domain: ml.DomainID(domain)}
	return ml.ListedEndpoint{Endpoint: ep, Incarnation: "1"}, true, nil
}

func newCataloger() *cataloger.Cataloger {
	return &cataloger.Cataloger{Decoder: textDecoder{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), RemovalGrace: time.Second}
}

func record(key, value string, offset ml.Offset) ml.KeyRecord {
	re := ml.KeyRecord{Topic: "t", Key: key, Offset: offset}
	if value != "" {
		re.Value = []byte(value)
	}
	return re
}

// applyListing has a catalog list a topic that ended at a position before, and holds some records.
func applyListing(at time.Time, ca *cataloger.Cataloger, end ml.Position, records ...ml.KeyRecord) {
	li := attester.NewListing("t", end, at)
	li.AddPage(records, true)
	ca.ApplyListing(at, li)
}

// readFrom returns a read of a topic that has reached its end.
func readFrom(at time.Time, from, next ml.Offset, records ...ml.KeyRecord) *attester.Read {
	return &attester.Read{Topic: "t", Records: records, From: ml.Position{Offset: from}, Next: ml.Position{Offset: next}, End: next, Current: at}
}

// TestMergeInAnyOrder checks that records that arrive in any order, repeated or
// late, leave the newest state, and that the configuration's version never
// decreases.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		records := []ml.KeyRecord{
			record("config", "3", 0), record("e", "live@d", 1), record("config", "7", 2), record("e", "leaving@d", 3),
			record("config", "x", 4), record("out/d", "y", 5), record("config", "5", 6),
		}
		ca := newCataloger()
		version := ml.Version(0)
		order := rapid.Permutation(append(records, records...)).Draw(rt, "order")
		for _, re := range order {
			ca.Merge(start, []ml.KeyRecord{re}, nil)
			if co := ca.Config(); co != nil {
				if co.Version < version {
					rt.Fatalf("version %d is in force after version %d", co.Version, version)
				}
				version = co.Version
			}
		}
		if len(ca.Usable(start, "s")) != 0 {
			rt.Fatal("a leaving endpoint is usable")
		}
	})
}

// TestRemovalGrace checks that an endpoint is unusable as soon as its record is
// deleted, but stays usable for the grace period when the store was unavailable
// shortly before. In that case the endpoint may only have been unable to renew the
// record.
func TestRemovalGrace(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newCataloger()
	ca.Merge(start, []ml.KeyRecord{record("e", "live@d", 1), record("f", "live@d", 2)}, nil)
	g.Expect(ca.Usable(start, "s")).To(gomega.HaveLen(2))
	now := start.Add(time.Minute)
	ca.Merge(now, []ml.KeyRecord{record("e", "", 3)}, nil)
	g.Expect(ca.Usable(now, "s")).To(gomega.HaveLen(1))
	ca.RecordStoreFailure(now)
	ca.Merge(now.Add(time.Second), []ml.KeyRecord{record("f", "", 4)}, nil)
	g.Expect(ca.Usable(now.Add(1900*time.Millisecond), "s")).To(gomega.HaveLen(1))
	g.Expect(ca.Usable(now.Add(2100*time.Millisecond), "s")).To(gomega.BeEmpty())
}

// TestUnusable checks that an endpoint is not used while its failure domain is
// out of service, after its address has been reused by another endpoint, or after
// a record that can't be decoded.
func TestUnusable(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newCataloger()
	ca.Merge(start, []ml.KeyRecord{record("e", "live@d", 1), record("out/d", "y", 2)}, nil)
	g.Expect(ca.IsUsable(start, "e", "1")).To(gomega.BeFalse())
	ca.Merge(start, []ml.KeyRecord{record("out/d", "", 3)}, nil)
	g.Expect(ca.IsUsable(start, "e", "1")).To(gomega.BeTrue())
	ca.MarkAddressReused("e", "1")
	g.Expect(ca.IsUsable(start, "e", "1")).To(gomega.BeFalse())
	ca.Merge(start, []ml.KeyRecord{record("e", "not one", 4)}, nil)
	g.Expect(ca.Known("e", "1")).To(gomega.BeFalse())
}

// TestDeleteUnlisted checks that keys missing in a complete listing are deleted,
// except those newer than the listing.
func TestDeleteUnlisted(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newCataloger()
	ca.Merge(start, []ml.KeyRecord{record("e", "live@d", 1), record("f", "live@d", 9)}, nil)
	applyListing(start, ca, ml.Position{Offset: 5})
	usable := ca.Usable(start, "s")
	g.Expect(usable).To(gomega.HaveLen(1))
	g.Expect(usable[0].ID).To(gomega.Equal(ml.EndpointID("f")))
}

// TestLateRecordOfAPeer guards against an endpoint, or a domain out of service, that comes back by a
// record that another entry VM passes on late: this one has read all that came after it, and knows
// nothing of it since it was deleted before this one started.
func TestLateRecordOfAPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newCataloger()
	applyListing(start, ca, ml.Position{Offset: 5}, record("f", "live@a", 4))
	ca.ApplyRead(start, readFrom(start, 5, 8, record("f", "leaving@a", 6)))
	g.Expect(ca.Merge(start, []ml.KeyRecord{record("e", "live@a", 1), record("out/a", "y", 2), record("f", "live@a", 5)}, nil)).To(gomega.BeEmpty())
	g.Expect(ca.Usable(start, "s")).To(gomega.BeEmpty())
	ca.Merge(start, []ml.KeyRecord{record("e", "live@a", 8)}, nil)
	g.Expect(ca.Usable(start, "s")).To(gomega.HaveLen(1), "the domain is in service, and the endpoint new")
}

// TestLateAnswerOfTheStore guards against an endpoint, or a domain out of service, that comes back by an
// answer of the store that another one has overtaken: the reads of one entry VM may overlap.
func TestLateAnswerOfTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newCataloger()
	applyListing(start, ca, ml.Position{Offset: 1})
	late := readFrom(start, 1, 3, record("e", "live@a", 1), record("out/b", "y", 2))
	listed := attester.NewListing("t", ml.Position{Offset: 3}, start)
	listed.AddPage([]ml.KeyRecord{record("e", "live@a", 1), record("f", "live@a", 5)}, true)
	applyListing(start, ca, ml.Position{Offset: 5})
	ca.ApplyRead(start, late)
	g.Expect(ca.Usable(start, "s")).To(gomega.BeEmpty(), "a read")
	ca.ApplyListing(start, listed)
	usable := ca.Usable(start, "s")
	g.Expect(usable).To(gomega.HaveLen(1), "a listing")
	g.Expect(usable[0].ID).To(gomega.Equal(ml.EndpointID("f")), "what came after")
	g.Expect(ca.RecordsFrom(nil).Records).NotTo(gomega.ContainElement(record("out/b", "y", 2)))
}

// TestDeparture checks that an endpoint that has said that it leaves isn't used, whatever its
// record says, until it starts again, and that this isn't forgotten while it is listed.
func TestDeparture(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newCataloger()
	leaves := ml.Departure{Endpoint: "e", Incarnation: "1"}
	g.Expect(ca.RecordDeparture(start, leaves)).To(gomega.BeTrue(), "before its record is read")
	ca.Merge(start, []ml.KeyRecord{record("e", "live@d", 1)}, nil)
	g.Expect(ca.IsUsable(start, "e", "1")).To(gomega.BeFalse())
	g.Expect(ca.RecordDeparture(start, leaves)).To(gomega.BeFalse(), "it is known")
	g.Expect(ca.Departures()).To(gomega.Equal([]ml.Departure{leaves}))
	ca.PruneRemoved(start.Add(time.Hour), time.Minute)
	ca.Merge(start.Add(time.Hour), []ml.KeyRecord{record("e", "leaving@d", 2), record("e", "live@d", 3)}, nil)
	g.Expect(ca.IsUsable(start.Add(time.Hour), "e", "1")).To(gomega.BeFalse())
	ca.RecordDeparture(start, ml.Departure{Endpoint: "e", Incarnation: "0"})
	g.Expect(ca.IsUsable(start.Add(time.Hour), "e", "1")).To(gomega.BeFalse(), "another incarnation has left too")
	ca.RecordDeparture(start, ml.Departure{Endpoint: "unknown"})
	ca.PruneRemoved(start.Add(time.Hour), time.Minute)
	g.Expect(ca.RecordDeparture(start, ml.Departure{Endpoint: "unknown"})).To(gomega.BeTrue(), "forgotten, since it was never listed")
}
