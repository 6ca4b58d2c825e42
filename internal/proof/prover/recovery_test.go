package prover_test

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
	"github.com/mulberrylever/mulberrylever/internal/standin/recorder"
)

// setConfig puts a configuration into force and returns its version.
func (fl *fleet) setConfig(cf configurer.Config) ml.Version {
	out, code := fl.runOperatorCommand("config", "set", fl.writeJSON("config", cf), "--by", "test")
	gomega.Expect(code).To(gomega.Equal(0), out)
	return fl.configVersion(fl.config.VMs.Entries[0])
}

var _ = ginkgo.Describe("recovery", func() {
	ginkgo.It("makes a restarted entry VM ready with state from its neighbours while the platform is down", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 2, engines: 1}, "")
		defer fl.stopAll()
		cf := configurer.Default()
		cf.DefaultTimeoutMs = 61_000
		accepted := fl.setConfig(cf)
		fl.setFaults(recorder.Faults{Outage: true})
		fl.kill("d1-entry2")
		fl.start("d1-entry2")
		fl.waitReady(2)
		gomega.Expect(fl.configVersion(fl.config.VMs.Entries[1])).To(gomega.Equal(accepted))
		fl.plan.Targets = fl.plan.Targets[1:]
		fl.plan.Prompts = []generator.Prompt{shortPrompt}
		results := fl.runLoad(2 * time.Second)
		gomega.Expect(results).NotTo(gomega.BeEmpty())
		gomega.Expect(fl.describeFailed(results)).To(gomega.BeEmpty())
	})

	ginkgo.It("reports an entry VM as not ready while it reaches neither the platform nor a neighbour", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 1, engines: 1}, "")
		defer fl.stopAll()
		fl.kill("d1-entry1")
		fl.kill("platform")
		fl.start("d1-entry1")
		readyzError := func() string { return fmt.Sprint(fl.getJSON(fl.config.VMs.Entries[0].AdminAddress, "/readyz", nil)) }
		gomega.Eventually(readyzError, "10s").Should(gomega.ContainSubstring("neither the platform nor a neighbour"))
		gomega.Consistently(readyzError, "3s").Should(gomega.ContainSubstring("neither the platform nor a neighbour"))
		fl.start("platform")
		fl.waitReady(1)
	})

	ginkgo.It("keeps the configuration and rejects expired idempotency keys after the log has dropped their records", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 2, services: 1}, "")
		defer fl.stopAll()
		cf := configurer.Default()
		cf.IdempotencyKeyTTLMs = 1500
		accepted := fl.setConfig(cf)
		fl.setFaults(recorder.Faults{RetentionMs: 2500})
		key := uuid.Must(uuid.NewV7()).String()
		book := func(target int) int {
			ca := caller{url: "http://" + fl.plan.Targets[target].Address, client: fl.client}
			status, _, _ := ca.send("POST", "/services/bookings/bookings", "{}", "Idempotency-Key", key)
			return status
		}
		gomega.Expect(book(0)).To(gomega.Equal(201))
		gomega.Expect(book(1)).To(gomega.Equal(201))
		gomega.Eventually(func() ml.Offset {
			pa := ml.LogPage{}
			gomega.Expect(fl.getJSON(fl.config.Platform.Address, "/log?from=1&waitMs=0", &pa)).To(gomega.Succeed())
			return pa.First
		}, "10s").Should(gomega.BeNumerically(">", accepted), "the configuration change is still in the log")
		gomega.Eventually(func() int { return book(0) }, "10s").Should(gomega.Equal(410))
		fl.kill("d1-entry2")
		fl.start("d1-entry2")
		fl.waitReady(2)
		gomega.Expect(book(1)).To(gomega.Equal(410), "on an entry VM that never read the claim record")
		gomega.Expect(fl.configVersion(fl.config.VMs.Entries[1])).To(gomega.Equal(accepted))
		runs := make(map[string]int)
		gomega.Expect(fl.getJSON(fl.config.VMs.Endpoints[0].Address, "/runs", &runs)).To(gomega.Succeed())
		gomega.Expect(runs).To(gomega.Equal(map[string]int{key: 1}))
	})
})
