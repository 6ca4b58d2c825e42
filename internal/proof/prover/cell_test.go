package prover_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/administrator"
	"github.com/mulberrylever/mulberrylever/internal/standin/generator"
)

// status returns the status that an entry VM reports on its admin address.
func (fl *fleet) status(en ml.EntryVM) administrator.Status {
	st := administrator.Status{}
	gomega.Expect(fl.getJSON(en.AdminAddress, "/admin/status", &st)).To(gomega.Succeed())
	return st
}

var _ = ginkgo.Describe("cells of a failure domain", func() {
	ginkgo.It("own only the endpoints of their cell, route to all endpoints, and fail over within the cell", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 4, engines: 2, cells: 2}, "")
		defer fl.stopAll()
		cells := make(map[ml.EndpointID]ml.CellID)
		for _, ep := range fl.config.VMs.Endpoints {
			cells[ep.ID] = ep.Cell
		}
		for _, en := range fl.config.VMs.Entries {
			st := fl.status(en)
			gomega.Expect(st.LiveMembers).To(gomega.HaveLen(2), "live members seen by %s", en.ID)
			for _, ol := range st.Owned {
				gomega.Expect(cells[ol.Endpoint]).To(gomega.Equal(en.Cell), "%s owns %s", en.ID, ol.Endpoint)
			}
		}
		fl.plan.Prompts = []generator.Prompt{shortPrompt}
		used := make(map[string]int)
		for _, rs := range fl.runLoadDuring(8*time.Second, 2*time.Second, func() { fl.kill("d1-entry1") }) {
			gomega.Expect(rs.Outcome).To(gomega.Equal(generator.OK), rs.Message)
			used[rs.Endpoint]++
		}
		gomega.Expect(used).To(gomega.HaveLen(2), "endpoints used")
		owners := make(map[ml.EndpointID]ml.VMID)
		for _, en := range fl.config.VMs.Entries[1:] {
			for _, ol := range fl.status(en).Owned {
				owners[ol.Endpoint] = en.ID
			}
		}
		gomega.Expect(owners).To(gomega.HaveLen(2), "endpoints that have an owner")
	})
})
