package prover_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/streamer"
	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

var _ = ginkgo.Describe("an exported KV cache", func() {
	ginkgo.It("is released on both engines when no grant accounts for it", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 1, engines: 2}, "")
		defer fl.stopAll()
		fl.plan.Prompts = []generator.Prompt{{Name: "medium", Weight: 1, MinTokens: 9000, MaxTokens: 9000, AnswerTokens: 300, TimeoutMs: 20_000}}
		fl.plan.ArrivalRate = 4
		st, ctx := streamer.New(nil), context.Background()
		source, destination := fl.config.VMs.Endpoints[0], fl.config.VMs.Endpoints[1]
		results := fl.runLoadDuring(2*time.Second, time.Second, func() {
			var ho ml.Hold
			gomega.Eventually(func() error {
				for _, running := range fl.holdsOf(source) {
					if running.Tokens > 9000 {
						var err error
						ho, err = st.ExportKV(ctx, source, running.ID)
						return err
					}
				}
				return context.DeadlineExceeded
			}, "10s", "20ms").Should(gomega.Succeed())
			gomega.Expect(st.ImportKV(ctx, destination, ho)).To(gomega.Succeed())
			gomega.Expect(fl.holdsOf(destination)).To(gomega.ContainElement(gomega.HaveField("ID", ho.ID)))
		})
		gomega.Expect(fl.describeFailed(results)).To(gomega.BeEmpty())
		gomega.Expect(fl.remainingHolds(14 * time.Second)).To(gomega.BeEmpty())
		evs, err := st.CacheEvents(ctx, source, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(evs).NotTo(gomega.BeEmpty())
	})
})
