package prover_test

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

var _ = ginkgo.Describe("engine power management", func() {
	ginkgo.It("switches engines on under load and off when idle, without interrupting requests", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 2, engines: 2}, "")
		defer fl.stopAll()
		cf := configurer.Default()
		cf.Power = configurer.Power{Enabled: true, WakeAbovePerCent: 20, SleepBelowPerCent: 10, MinOrderIntervalMs: 1000, MinAwake: 1}
		out, code := fl.runOperatorCommand("config", "set", fl.writeJSON("config", cf), "--by", "test")
		gomega.Expect(code).To(gomega.Equal(0), out)
		countSwitchedOff := func() int {
			n := 0
			for _, ep := range fl.config.VMs.Endpoints {
				if err := fl.getJSON(ep.Address, "/v1/holds", nil); err != nil && strings.Contains(err.Error(), "switched off") {
					n++
				}
			}
			return n
		}
		gomega.Eventually(countSwitchedOff, "20s").Should(gomega.Equal(1))
		fl.plan.ArrivalRate = 40
		fl.plan.Prompts = []generator.Prompt{shortPrompt}
		results := fl.runLoad(8 * time.Second)
		used := make(map[string]int)
		for _, rs := range results {
			gomega.Expect(rs.Outcome).To(gomega.Equal(generator.OK), rs.Message)
			used[rs.Endpoint]++
		}
		gomega.Expect(used).To(gomega.HaveLen(2), "endpoints used")
		gomega.Eventually(countSwitchedOff, "20s").Should(gomega.Equal(1))
		gomega.Expect(fl.coldOverloads()).To(gomega.BeZero())
	})
})
