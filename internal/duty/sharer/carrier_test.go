package sharer_test

import (
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/sharer"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

// TestCarrier checks which entry VM takes over the requests of another one: one in the same
// region that has its paths to the service, of another failure domain if there is one.
func TestCarrier(t *testing.T) {
	g := gomega.NewWithT(t)
	fl := &fleet{ne: &network{nodes: map[string]*sharer.Sharer{}, killed: map[string]bool{}}}
	cut := [4]atomic.Pointer[[]ml.ServiceName]{}
	for i := range cut {
		fl.create(i)
		cut[i].Store(&[]ml.ServiceName{})
		fl.nodes[i].Cut = func() []ml.ServiceName { return *cut[i].Load() }
		fl.nodes[i].Region = []ml.DomainID{"d0", "d1"}
	}
	for i := range cut {
		fl.run(t, i)
	}
	carriers := func(tried ...string) map[string]bool {
		out := map[string]bool{}
		for range 50 {
			address, found := fl.nodes[0].Carrier(time.Now(), "s", tried)
			out[address] = found
		}
		return out
	}
	other, otherToo, near := fl.nodes[1].Address, fl.nodes[3].Address, fl.nodes[2].Address
	g.Eventually(carriers, "10s", "10ms").Should(gomega.Equal(map[string]bool{other: true, otherToo: true}))
	g.Expect(carriers(other)).To(gomega.Equal(map[string]bool{otherToo: true}))
	cut[1].Store(&[]ml.ServiceName{"s"})
	fl.nodes[1].Signal()
	g.Eventually(carriers, "10s", "10ms").Should(gomega.Equal(map[string]bool{otherToo: true}))
	cut[3].Store(&[]ml.ServiceName{"s"})
	fl.nodes[3].Signal()
	g.Eventually(carriers, "10s", "10ms").Should(gomega.Equal(map[string]bool{near: true}))
	cut[2].Store(&[]ml.ServiceName{"s"})
	fl.nodes[2].Signal()
	g.Eventually(carriers, "10s", "10ms").Should(gomega.Equal(map[string]bool{"": false}))
	fl.nodes[0].Region = nil
	cut[3].Store(&[]ml.ServiceName{"another"})
	fl.nodes[3].Signal()
	g.Consistently(carriers, "300ms", "10ms").Should(gomega.Equal(map[string]bool{"": false}), "nothing leaves the region")
}

// versionDecoder decodes each record as a configuration whose version is its offset.
type versionDecoder struct{ emptyDecoder }

func (versionDecoder) Config(re ml.KeyRecord) (ml.ServingConfig, bool, error) {
	return ml.ServingConfig{Version: ml.Version(re.Offset)}, true, nil
}

// TestCarrierByVersion checks that requests are handed to members with the same configuration
// in force first, to others after them, and never to one of a release that doesn't say its
// version.
func TestCarrierByVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	fl := &fleet{ne: &network{nodes: map[string]*sharer.Sharer{}, killed: map[string]bool{}}}
	fl.create(0)
	sh := fl.nodes[0]
	sh.Region = []ml.DomainID{"d0", "d1"}
	sh.Catalog = &cataloger.Cataloger{Decoder: versionDecoder{}, Log: slog.New(slog.DiscardHandler)}
	sh.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: "config", Offset: 7}}, nil)
	hear := func(address string, domain ml.DomainID, version ml.Version) {
		sh.OnShare(ml.ShareMessage{From: ml.VMID(address), Address: address, Domain: domain, Version: version})
	}
	carrier := func() string {
		address, _ := sh.Carrier(time.Now(), "s", nil)
		return address
	}
	hear("earlier release", "d1", 0)
	g.Expect(carrier()).To(gomega.BeEmpty())
	hear("behind and near", "d0", 6)
	g.Expect(carrier()).To(gomega.Equal("behind and near"))
	hear("ahead", "d1", 8)
	g.Expect(carrier()).To(gomega.Equal("ahead"))
	hear("near", "d0", 7)
	g.Expect(carrier()).To(gomega.Equal("near"))
	hear("far", "d1", 7)
	g.Expect(carrier()).To(gomega.Equal("far"))
}
