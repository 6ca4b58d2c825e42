package detector_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/decision/detector"
)

var start = time.Unix(1000, 0)

// TestFailingEndpoint checks that an endpoint is limited to single trial requests
// after a few failures, and that the limit ends after successes.
func TestFailingEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	de := &detector.Detector{}
	now := start
	for range 3 {
		de.Record(now, "e", "i", detector.Failed)
	}
	g.Expect(de.FailureRate(now, "e", "i")).To(gomega.BeNumerically(">", 0.5))
	g.Expect(de.Blocked(now, "e", "i", 0)).To(gomega.BeFalse())
	g.Expect(de.Blocked(now, "e", "i", 1)).To(gomega.BeTrue(), "a trial request is running")
	de.RecordSend(now, "e", "i")
	g.Expect(de.Blocked(now, "e", "i", 0)).To(gomega.BeTrue(), "a trial request was sent recently")
	for range 6 {
		de.Record(now, "e", "i", detector.Succeeded)
	}
	g.Expect(de.Blocked(now, "e", "i", 5)).To(gomega.BeFalse())
	g.Expect(de.FailureRate(now.Add(time.Minute), "e", "i")).To(gomega.BeNumerically("<", 0.01))
}

// TestUnreachableEndpoint checks that an unreachable endpoint is blocked for a
// limited, growing time, and that a new incarnation is not blocked.
func TestUnreachableEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	de := &detector.Detector{}
	de.Record(start, "e", "i", detector.Unreachable)
	g.Expect(de.Blocked(start.Add(400*time.Millisecond), "e", "i", 0)).To(gomega.BeTrue())
	g.Expect(de.Blocked(start.Add(600*time.Millisecond), "e", "i", 0)).To(gomega.BeFalse())
	de.Record(start.Add(600*time.Millisecond), "e", "i", detector.Unreachable)
	g.Expect(de.Blocked(start.Add(1500*time.Millisecond), "e", "i", 0)).To(gomega.BeTrue())
	g.Expect(de.Blocked(start.Add(1500*time.Millisecond), "e", "j", 0)).To(gomega.BeFalse(), "another incarnation")
}

// TestPeerFailure checks that a failure reported by another entry VM has less weight
// than an own one.
func TestPeerFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	de := &detector.Detector{}
	de.Record(start, "e", "", detector.PeerFailed)
	peerRate := de.FailureRate(start, "e", "i")
	g.Expect(peerRate).To(gomega.BeNumerically(">", 0))
	de.Record(start, "f", "i", detector.Failed)
	g.Expect(peerRate).To(gomega.BeNumerically("<", de.FailureRate(start, "f", "i")))
}
