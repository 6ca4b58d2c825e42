package prover_test

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

var _ = ginkgo.Describe("engines that are off until needed", func() {
	ginkgo.It("are switched on by demand and off without it, and no request is cut off", func() {
		fl := startFleet(size{domains: 1, entries: 2, engines: 2}, "")
		defer fl.stop()
		cf := configurer.Default()
		cf.Power = configurer.Power{Enabled: true, WakeAbovePerCent: 20, SleepBelowPerCent: 10, MinOrderIntervalMs: 1000, MinAwake: 1}
		out, code := fl.operate("config", "set", fl.write("config", cf), "--by", "test")
		gomega.Expect(code).To(gomega.Equal(0), out)
		asleep := func() int {
			n := 0
			for _, ep := range fl.file.VMs.Endpoints {
				if err := fl.get(ep.Address, "/v1/holds", nil); err != nil && strings.Contains(err.Error(), "switched off") {
					n++
				}
			}
			return n
		}
		gomega.Eventually(asleep, "20s").Should(gomega.Equal(1))
		fl.plan.ArrivalRate = 40
		fl.plan.Prompts = []generator.Prompt{shorts}
		results := fl.load(8 * time.Second)
		used := make(map[string]int)
		for _, rs := range results {
			gomega.Expect(rs.Outcome).To(gomega.Equal(generator.OK), rs.Message)
			used[rs.Endpoint]++
		}
		gomega.Expect(used).To(gomega.HaveLen(2), "endpoints used")
		gomega.Eventually(asleep, "20s").Should(gomega.Equal(1))
		gomega.Expect(fl.overloads()).To(gomega.BeZero())
	})
})
