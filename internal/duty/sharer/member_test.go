package sharer

import (
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
)

// TestDroppedMemberKeepsShare guards against two parts of a failure domain that can't
// hear each other and both use the whole share of the domain.
func TestDroppedMemberKeepsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	sh := New()
	sh.Address, sh.Domain, sh.Log = "self", "d", slog.New(slog.DiscardHandler)
	start := time.Now()
	for address, domain := range map[string]ml.DomainID{"near": "d", "far": "other"} {
		sh.AddMember(t.Context(), address)
		sh.updateMember(start, ml.ShareMessage{Address: address, Domain: domain})
	}
	sh.AddMember(t.Context(), "unheard")
	peers := func(after time.Duration) []string {
		sh.dropExpired(start.Add(after))
		return sh.Membership(start.Add(after)).Peers
	}
	g.Expect(peers(0)).To(gomega.ConsistOf("near", "unheard"))
	g.Expect(peers(memberTimeout + time.Second)).To(gomega.ConsistOf("near"))
	g.Expect(sh.members).To(gomega.BeEmpty())
	g.Expect(peers(memberTimeout + shareRetention/2)).To(gomega.ConsistOf("near"))
	g.Expect(peers(memberTimeout + 2*shareRetention)).To(gomega.BeEmpty())
	sh.AddMember(t.Context(), "near")
	g.Expect(sh.Membership(start).Peers).To(gomega.ConsistOf("near"), "counted once")
}

// TestPauseUnsettles checks that an entry VM that was frozen, and may have missed
// members, does not count on its view at once.
func TestPauseUnsettles(t *testing.T) {
	g := gomega.NewWithT(t)
	sh := New()
	start := time.Now()
	for at := time.Duration(0); at <= settleTime; at += stateInterval {
		sh.observePause(start.Add(at))
	}
	g.Expect(sh.Membership(start.Add(settleTime)).Settled).To(gomega.BeTrue())
	resumed := start.Add(settleTime + maxTickPause + time.Second)
	sh.observePause(resumed)
	g.Expect(sh.Membership(resumed).Settled).To(gomega.BeFalse())
	g.Expect(sh.Membership(resumed.Add(settleTime)).Settled).To(gomega.BeTrue())
}
