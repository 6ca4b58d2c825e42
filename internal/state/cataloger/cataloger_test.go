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
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

var start = time.Unix(1000, 0)

// plain reads records written as text: a configuration is a number, an
// endpoint a state.
type plain struct{}

func (plain) Config(re ml.KeyRecord) (ml.ServingConfig, bool, error) {
	if re.Key != "config" {
		return ml.ServingConfig{}, false, nil
	}
	n, err := strconv.Atoi(string(re.Value))
	return ml.ServingConfig{Version: ml.Version(n)}, true, err
}

func (plain) Domain(re ml.KeyRecord) (ml.DomainID, bool) {
	do, found := strings.CutPrefix(re.Key, "out/")
	return ml.DomainID(do), found
}

func (plain) Endpoint(re ml.KeyRecord) (ml.ListedEndpoint, bool, error) {
	state, domain, found := strings.Cut(string(re.Value), "@")
	if !found {
		return ml.ListedEndpoint{}, false, errors.New("no endpoint")
	}
	ep := ml.Endpoint{ID: ml.EndpointID(re.Key), Service: "s", State: ml.VMState(state), Domain: ml.DomainID(domain)}
	return ml.ListedEndpoint{Endpoint: ep, Incarnation: "1"}, true, nil
}

func newCataloger() *cataloger.Cataloger {
	return &cataloger.Cataloger{Decoder: plain{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Grace: time.Second}
}

func record(key, value string, at ml.Offset) ml.KeyRecord {
	re := ml.KeyRecord{Topic: "t", Key: key, Offset: at}
	if value != "" {
		re.Value = []byte(value)
	}
	return re
}

// TestAnyOrder checks that records in any order, repeated and with old ones
// late, leave the newest state, and that the version never goes back.
func TestAnyOrder(t *testing.T) {
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
					rt.Fatalf("version %d after %d", co.Version, version)
				}
				version = co.Version
			}
		}
		if len(ca.Usable(start, "s")) != 0 {
			rt.Fatal("a leaving endpoint is used")
		}
	})
}

// TestRemoved checks that an endpoint whose record goes is gone at once, but
// is used on for a while when the store was away, since it may only have been
// unable to renew the record.
func TestRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newCataloger()
	ca.Merge(start, []ml.KeyRecord{record("e", "live@d", 1), record("f", "live@d", 2)}, nil)
	g.Expect(ca.Usable(start, "s")).To(gomega.HaveLen(2))
	now := start.Add(time.Minute)
	ca.Merge(now, []ml.KeyRecord{record("e", "", 3)}, nil)
	g.Expect(ca.Usable(now, "s")).To(gomega.HaveLen(1))
	ca.StoreAway(now)
	ca.Merge(now.Add(time.Second), []ml.KeyRecord{record("f", "", 4)}, nil)
	g.Expect(ca.Usable(now.Add(1900*time.Millisecond), "s")).To(gomega.HaveLen(1))
	g.Expect(ca.Usable(now.Add(2100*time.Millisecond), "s")).To(gomega.BeEmpty())
}

// TestOutAndWrong checks failure domains out of service, and addresses that
// another endpoint has.
func TestOutAndWrong(t *testing.T) {
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

// TestAbsent checks that keys which a whole listing does not name are gone,
// but not those that are newer than the listing.
func TestAbsent(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newCataloger()
	ca.Merge(start, []ml.KeyRecord{record("e", "live@d", 1), record("f", "live@d", 9)}, nil)
	ca.Absent(start, "t", map[string]bool{}, 5)
	left := ca.Usable(start, "s")
	g.Expect(left).To(gomega.HaveLen(1))
	g.Expect(left[0].ID).To(gomega.Equal(ml.EndpointID("f")))
}
