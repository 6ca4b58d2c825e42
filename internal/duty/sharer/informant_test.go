package sharer_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestInformant checks whom an entry VM of a large fleet asks what is newest in the store: the
// reader of its domain, another one after it has failed, and whoever has read for want of it.
func TestInformant(t *testing.T) {
	g := gomega.NewWithT(t)
	const n, asking, reading = 20, 10, 12 // of the same domain
	fl := newFleet(t, n)
	sh, woken := fl.nodes[asking], atomic.Int64{}
	informant := func(i int) func() string {
		return func() string {
			address, _ := fl.nodes[i].Informant(time.Now())
			return address
		}
	}
	sh.OnReader = func() { woken.Add(1) }
	g.Eventually(informant(asking), "10s", "10ms").Should(gomega.Equal(fl.nodes[0].Address), "the reader of the domain")
	g.Eventually(informant(asking+1), "10s", "10ms").Should(gomega.Equal(fl.nodes[1].Address), "of the other domain")

	sh.InformantFailed(time.Now())
	g.Expect(informant(asking)()).NotTo(gomega.BeElementOf("", sh.Address))
	sh.InformantFailed(time.Now())
	g.Expect(informant(asking)()).To(gomega.Equal(fl.nodes[0].Address), "once more")

	g.Eventually(func() string {
		fl.nodes[reading].AnnounceRead() // once more while it doesn't know all of its domain
		return informant(asking)()
	}, "10s", "100ms").Should(gomega.Equal(fl.nodes[reading].Address))
	g.Expect(woken.Load()).To(gomega.BeNumerically(">=", 1))
	g.Expect(informant(asking+1)()).To(gomega.Equal(fl.nodes[1].Address), "of the other domain")

	fl.kill(reading)
	g.Eventually(informant(asking), "30s", "50ms").Should(gomega.Equal(fl.nodes[0].Address))
}
