package prover_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

var _ = ginkgo.Describe("a group of engines", func() {
	ginkgo.It("is dissolved when a member dies, and its request is retried", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 2, engines: 5}, "")
		defer fl.stopAll()
		fl.plan.ArrivalRate = 3
		fl.plan.Prompts = []generator.Prompt{
			{Name: "huge", Weight: 1, MinTokens: 700_000, MaxTokens: 700_000, AnswerTokens: 300, TimeoutMs: 40_000},
			{Name: "short", Weight: 3, MinTokens: 500, MaxTokens: 2000, AnswerTokens: 24, TimeoutMs: 10_000},
		}
		member := ""
		results := fl.runLoadDuring(2*time.Second, 3*time.Second, func() { member = fl.groupMember(); fl.kill(member) })
		gomega.Expect(fl.describeFailed(results)).To(gomega.BeEmpty())
		huge := 0
		for _, rs := range results {
			if rs.Kind == "huge" {
				huge++
			}
		}
		gomega.Expect(huge).NotTo(gomega.BeZero())
		gomega.Expect(fl.remainingHolds(14 * time.Second)).To(gomega.BeEmpty())
	})
})

// groupMember waits until an engine is a member of a group and returns its name.
func (fl *fleet) groupMember() string {
	found := ""
	gomega.Eventually(func() string {
		for _, ep := range fl.config.VMs.Endpoints {
			for _, ho := range fl.holdsOf(ep) {
				if ho.Kind == "group" {
					found = string(ep.ID)
				}
			}
		}
		return found
	}, "20s", "50ms").ShouldNot(gomega.BeEmpty())
	return found
}
