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
	ginkgo.It("is taken back from both engines when nobody answers for it", func() {
		fl := startFleet(size{domains: 1, entries: 1, engines: 2}, "")
		defer fl.stop()
		fl.plan.Prompts = []generator.Prompt{{Name: "medium", Weight: 1, MinTokens: 9000, MaxTokens: 9000, AnswerTokens: 300, TimeoutMs: 20_000}}
		fl.plan.ArrivalRate = 4
		en, ctx := streamer.New(nil), context.Background()
		from, to := fl.file.VMs.Endpoints[0], fl.file.VMs.Endpoints[1]
		results := fl.during(2*time.Second, time.Second, func() {
			var ho ml.Hold
			gomega.Eventually(func() error {
				for _, running := range fl.heldBy(from) {
					if running.Tokens > 9000 {
						var err error
						ho, err = en.ExportKV(ctx, from, running.ID)
						return err
					}
				}
				return context.DeadlineExceeded
			}, "10s", "20ms").Should(gomega.Succeed())
			gomega.Expect(en.ImportKV(ctx, to, ho)).To(gomega.Succeed())
			gomega.Expect(fl.heldBy(to)).To(gomega.ContainElement(gomega.HaveField("ID", ho.ID)))
		})
		gomega.Expect(fl.anyFailed(results)).To(gomega.BeEmpty())
		gomega.Expect(fl.heldAfter(14 * time.Second)).To(gomega.BeEmpty())
		evs, err := en.CacheEvents(ctx, from, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(evs).NotTo(gomega.BeEmpty())
	})
})
