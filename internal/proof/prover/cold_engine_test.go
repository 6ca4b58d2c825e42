package prover_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

var _ = ginkgo.Describe("an engine that turns cold while idle", func() {
	ginkgo.It("is not given a prompt larger than its cold capacity", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 1, engines: 1}, "")
		defer fl.stopAll()
		fl.plan.ArrivalRate = 50
		fl.plan.Prompts = []generator.Prompt{{Name: "medium", Weight: 1, MinTokens: 20_000, MaxTokens: 20_000, AnswerTokens: 2, TimeoutMs: 5000}}
		for range 5 {
			// Wait until the engine is warm, then send prompts right after it
			// has turned cold.
			gomega.Eventually(func() int { return len(unexpectedResults(fl.runLoad(40 * time.Millisecond))) }).Should(gomega.BeZero())
			fl.turnCold("d1-engine1")
			gomega.Expect(describeUnexpected(fl.runLoad(40 * time.Millisecond))).To(gomega.BeEmpty())
		}
		gomega.Expect(fl.coldOverloads()).To(gomega.BeZero())
	})
})
