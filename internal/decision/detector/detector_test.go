package detector_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
)

var start = time.Unix(1000, 0)

// TestFailing checks that an endpoint which fails is found within a few
// requests, gets single requests, and is trusted again after good ones.
func TestFailing(t *testing.T) {
	g := gomega.NewWithT(t)
	de := &detector.Detector{}
	now := start
	for range 3 {
		de.Record(now, "e", "i", detector.Failed)
	}
	g.Expect(de.FailureRate(now, "e", "i")).To(gomega.BeNumerically(">", 0.5))
	g.Expect(de.Blocked(now, "e", "i", 0)).To(gomega.BeFalse())
	g.Expect(de.Blocked(now, "e", "i", 1)).To(gomega.BeTrue(), "one at a time")
	de.RecordSend(now, "e", "i")
	g.Expect(de.Blocked(now, "e", "i", 0)).To(gomega.BeTrue(), "one in a while")
	for range 6 {
		de.Record(now, "e", "i", detector.Succeeded)
	}
	g.Expect(de.Blocked(now, "e", "i", 5)).To(gomega.BeFalse())
	g.Expect(de.FailureRate(now.Add(time.Minute), "e", "i")).To(gomega.BeNumerically("<", 0.01))
}

// TestUnreachable checks that the pauses grow, end, and belong to one life of
// an endpoint.
func TestUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	de := &detector.Detector{}
	de.Record(start, "e", "i", detector.Unreachable)
	g.Expect(de.Blocked(start.Add(400*time.Millisecond), "e", "i", 0)).To(gomega.BeTrue())
	g.Expect(de.Blocked(start.Add(600*time.Millisecond), "e", "i", 0)).To(gomega.BeFalse())
	de.Record(start.Add(600*time.Millisecond), "e", "i", detector.Unreachable)
	g.Expect(de.Blocked(start.Add(1500*time.Millisecond), "e", "i", 0)).To(gomega.BeTrue())
	g.Expect(de.Blocked(start.Add(1500*time.Millisecond), "e", "j", 0)).To(gomega.BeFalse(), "another life")
}

// TestPeers checks that what another entry VM has seen counts for less.
func TestPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	de := &detector.Detector{}
	de.Record(start, "e", "", detector.PeerFailed)
	seen := de.FailureRate(start, "e", "i")
	g.Expect(seen).To(gomega.BeNumerically(">", 0))
	de.Record(start, "f", "i", detector.Failed)
	g.Expect(seen).To(gomega.BeNumerically("<", de.FailureRate(start, "f", "i")))
}
