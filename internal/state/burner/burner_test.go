package burner_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/state/burner"
)

// TestWindows counts events over four days and checks every window.
func TestWindows(t *testing.T) {
	g := gomega.NewWithT(t)
	bu := &burner.Burner{}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ke := burner.Key{Objective: burner.TTFT, Length: "short"}
	// One event a minute; every tenth one is bad in the last hour.
	const minutes = 4 * 24 * 60
	for i := range minutes {
		bu.Add(start.Add(time.Duration(i)*time.Minute), ke, i < minutes-60 || i%10 != 0)
	}
	sn, err := bu.Snapshot(start.Add((minutes - 1) * time.Minute))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(sn.Rows).To(gomega.HaveLen(1))
	co := sn.Rows[0].Counts
	g.Expect(co[0]).To(gomega.Equal(burner.Count{Good: 6, Total: 6}))
	g.Expect(co[1]).To(gomega.Equal(burner.Count{Good: 55, Total: 61}))
	g.Expect(co[2].Total).To(gomega.BeNumerically("~", 6*60, 15))
	g.Expect(co[3].Total).To(gomega.BeNumerically("~", 72*60, 15))
	g.Expect(co[1].BurnRate(95)).To(gomega.BeNumerically("~", 1.97, 0.01))
	g.Expect(sn.Rows[0].Alerts(95)).To(gomega.BeEmpty())
	g.Expect(burner.Row{Key: ke, Counts: [4]burner.Count{{Total: 10}, {Total: 10}, {Total: 10}, {Total: 10}}}.Alerts(95)).To(gomega.HaveLen(1))
}
