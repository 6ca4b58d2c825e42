package cataloger_test

import (
	"fmt"
	"slices"
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

// countedDecoder is textDecoder with endpoints written as state@domain#sequence.
type countedDecoder struct{ textDecoder }

func (cd countedDecoder) Endpoint(re ml.KeyRecord) (ml.ListedEndpoint, bool, error) {
	text, sequence, _ := strings.Cut(string(re.Value), "#")
	re.Value = []byte(text)
	ep, found, err := cd.textDecoder.Endpoint(re)
	if n, err := strconv.ParseInt(sequence, 10, 64); err == nil {
		ep.Sequence = n
	}
	return ep, found, err
}

func newCountedCataloger() *cataloger.Cataloger {
	ca := newCataloger()
	ca.Decoder = countedDecoder{}
	return ca
}

// keyedStore is a store of one keyed topic that comes back from older copies.
type keyedStore struct {
	era     ml.Era
	records []ml.KeyRecord
	history []ml.KeyRecord // all records that it ever held
}

func (ks *keyedStore) put(key, value string) {
	re := record(key, value, ml.Offset(len(ks.records)))
	re.Era = ks.era
	ks.records, ks.history = append(ks.records, re), append(ks.history, re)
}

// restore makes the store come back from a copy of when it held n records.
func (ks *keyedStore) restore(n int) {
	ks.era++
	ks.records = slices.Clone(ks.records[:n])
	for i := range ks.records {
		ks.records[i].Era = ks.era
	}
}

func (ks *keyedStore) end() ml.Position {
	return ml.Position{Era: ks.era, Offset: ml.Offset(len(ks.records))}
}

// list has a catalog list the newest record of each key that has a value at a time, and returns
// these keys.
func (ks *keyedStore) list(at time.Time, ca *cataloger.Cataloger) map[string]bool {
	newest := map[string]ml.KeyRecord{}
	for _, re := range ks.records {
		newest[re.Key] = re
	}
	out, listed := []ml.KeyRecord{}, map[string]bool{}
	for key, re := range newest {
		if re.Value != nil {
			out, listed[key] = append(out, re), true
		}
	}
	applyListing(at, ca, ks.end(), out...)
	return listed
}

// TestEras checks that, whatever the order in which records of several eras arrive from others,
// an entry VM that has listed the store in its newest era ends with what that holds: only the
// configuration never goes back, and engines that nobody has written again are gone.
func TestEras(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ks, version, sequence := &keyedStore{era: 1}, 0, 0
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"config", "engine", "gone", "out", "back", "return"}).Draw(rt, "step") {
			case "config":
				version++
				ks.put("config", strconv.Itoa(version))
			case "engine":
				sequence++
				ks.put(rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "id"), fmt.Sprintf("%s@d#%d", rapid.SampledFrom([]string{"live", "leaving"}).Draw(rt, "state"), sequence))
			case "gone":
				ks.put(rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "id"), "")
			case "out":
				ks.put("out/d", "y")
			case "back":
				ks.put("out/d", "")
			case "return":
				ks.restore(rapid.IntRange(0, len(ks.records)).Draw(rt, "copy"))
			}
		}
		ks.put("config", strconv.Itoa(version+1)) // what the operators wrote is written again
		ca := newCountedCataloger()
		heard := rapid.Permutation(ks.history).Draw(rt, "heard")
		at := rapid.IntRange(0, len(heard)).Draw(rt, "listed after")
		ca.Merge(start, heard[:at], nil)
		listed := ks.list(start, ca)
		ca.Merge(start, heard[at:], nil)
		if got := ca.Version(); got != ml.Version(version+1) {
			rt.Fatalf("version %d is in force, want %d", got, version+1)
		}
		later := start.Add(time.Hour)
		ca.ApplyRead(later, &attester.Read{Topic: "t", From: ks.end(), Next: ks.end(), End: ks.end().Offset, Current: later}) // nothing was written again
		ca.DropOutdated(later)
		for _, li := range ca.Usable(later, "s") {
			if !listed[string(li.ID)] {
				rt.Fatalf("%s is usable, but the store has no entry of it", li.ID)
			}
		}
		if ca.ReadPosition("t") != ks.end() {
			rt.Fatalf("reads on at %v, want %v", ca.ReadPosition("t"), ks.end())
		}
	})
}

// TestEraOfPeers checks what an entry VM takes over from others that know the store in another
// era, or are of a release that doesn't say in which.
func TestEraOfPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newCountedCataloger()
	ks := &keyedStore{era: 2}
	ks.put("config", "5")
	ks.put("e1", "live@d#4")
	ks.list(start, ca)

	ca.Merge(start, []ml.KeyRecord{record("config", "4", 90), record("e1", "leaving@d#3", 91), record("e2", "live@d#1", 92), record("e1", "", 93)}, nil)
	g.Expect(ca.Version()).To(gomega.Equal(ml.Version(5)))
	g.Expect(ca.Usable(start, "s")).To(gomega.HaveLen(1), "old records of an earlier release")
	ca.Merge(start, []ml.KeyRecord{record("config", "6", 94), record("e1", "leaving@d#5", 95)}, nil)
	g.Expect(ca.Version()).To(gomega.Equal(ml.Version(6)), "a newer configuration of an earlier release")
	g.Expect(ca.Usable(start, "s")).To(gomega.BeEmpty(), "the newer state of an engine of an earlier release")

	other := newCountedCataloger()
	later := &keyedStore{era: 3}
	later.put("config", "7")
	later.list(start, other)
	reply := other.RecordsFrom(ca.NextPositions())
	g.Expect(reply.Covered(ca.NextPositions())).To(gomega.BeEmpty(), "offsets of different eras can't be compared")
	ca.Merge(start, reply.Records, reply.Covered(ca.NextPositions()))
	ca.Adopt(start, &reply)
	g.Expect(ca.Version()).To(gomega.Equal(ml.Version(7)))
	g.Expect(ca.ReadPosition("t")).To(gomega.Equal(later.end()))
	g.Expect(ca.Era()).To(gomega.Equal(ml.Era(3)))
	earlier := (&keyedStore{era: 2}).end()
	ca.ApplyRead(start, &attester.Read{Topic: "t", From: earlier, Next: earlier, End: earlier.Offset, Current: start})
	g.Expect(ca.ReadPosition("t")).To(gomega.Equal(later.end()), "an answer that comes late")
}

// TestAdoptedFromEarlierRelease guards against an entry VM that has taken over all that one of an
// earlier release knew, in no era, and drops most engines when it hears of the first era: it must get
// all records of that, and one of an earlier release those after its offsets alone.
func TestAdoptedFromEarlierRelease(t *testing.T) {
	g := gomega.NewWithT(t)
	ks := &keyedStore{era: 1}
	ks.put("config", "1")
	ks.put("e1", "live@d#1")
	ks.put("e2", "live@d#2")
	current := newCountedCataloger()
	ks.list(start, current)

	ca := newCountedCataloger()
	earlier := ml.RecordsReply{
		Records:     []ml.KeyRecord{record("config", "1", 0), record("e1", "live@d#1", 1), record("e2", "live@d#2", 2)},
		NextOffsets: map[ml.TopicName]ml.Offset{"t": 3}, ListedFrom: map[ml.TopicName]ml.Offset{"t": 0},
	}
	ca.Merge(start, earlier.Records, earlier.Covered(nil))
	ca.Adopt(start, &earlier)
	reply := current.RecordsFrom(ca.NextPositions())
	ca.Merge(start, reply.Records, reply.Covered(ca.NextPositions()))
	ca.Adopt(start, &reply)
	later := start.Add(time.Hour)
	ca.ApplyRead(later, &attester.Read{Topic: "t", From: ks.end(), Next: ks.end(), End: ks.end().Offset, Current: later})
	ca.DropOutdated(later)
	g.Expect(ca.Usable(later, "s")).To(gomega.HaveLen(2))
	g.Expect(ca.ReadPosition("t")).To(gomega.Equal(ks.end()))

	asked := map[ml.TopicName]ml.Position{"t": {Era: ml.UnknownEra, Offset: 2}}
	g.Expect(current.RecordsFrom(asked).Records).To(gomega.HaveLen(1))
}

// TestStartedAfterCopy guards against an evacuation that ends at all entry VMs since one has started
// after the store came back from a copy without it: what the others have passed on to that one has as
// much time to be written again as at those that knew it before.
func TestStartedAfterCopy(t *testing.T) {
	const second = time.Second
	for age, want := range map[time.Duration]int{3 * second: 0, 59 * second: 0, 61 * second: 1} {
		t.Run(age.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			published := []ml.KeyRecord{}
			ca := newCountedCataloger()
			ca.OnStoreRecords = func(records []ml.KeyRecord) { published = append(published, records...) }
			ks := &keyedStore{era: 1}
			ks.put("e1", "live@d#1")
			ks.put("out/d", "y")
			heard := ks.history
			ks.restore(1)
			ks.list(start, ca)
			ca.Merge(start, heard, nil)
			later := start.Add(age)
			ca.ApplyRead(later, &attester.Read{Topic: "t", From: ks.end(), Next: ks.end(), End: ks.end().Offset, Current: later})
			ca.DropOutdated(later)
			g.Expect(published).To(gomega.HaveLen(want))
			g.Expect(ca.Usable(later, "s")).To(gomega.HaveLen(want), "usable engines of the domain")
		})
	}
}
