package admitter_test

import (
	"testing"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/admitter"
)

// TestByteLimits checks the byte limits of one team and of all teams, and that a
// released ticket frees its bytes once.
func TestByteLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	ad := &admitter.Admitter{MaxBytes: 100}
	tickets := []*admitter.Ticket{}
	for range 5 {
		ti, err := ad.Admit("large", 0, 10)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		tickets = append(tickets, ti)
	}
	_, err := ad.Admit("large", 0, 10)
	g.Expect(ml.TypeOf(err)).To(gomega.Equal(ml.ErrOverloaded))
	g.Expect(err.Error()).To(gomega.ContainSubstring(`team "large" hold 50 bytes`))
	_, err = ad.Admit("small", 0, 40)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = ad.Admit("other", 0, 20)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("90 bytes, the limit is 100")))
	tickets[0].Release()
	tickets[0].Release()
	_, err = ad.Admit("large", 0, 10)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ad.InFlight()).To(gomega.Equal(6))
}

// TestRequestLimit checks a team's limit of concurrent requests, and that nothing is
// admitted after Close.
func TestRequestLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	ad := &admitter.Admitter{MaxBytes: 100}
	ti, err := ad.Admit("a", 1, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = ad.Admit("a", 1, 1)
	g.Expect(ml.AsError("", err).NotRun).To(gomega.BeTrue())
	_, err = ad.Admit("b", 1, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ti.Release()
	_, err = ad.Admit("a", 1, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ad.Close()
	_, err = ad.Admit("c", 0, 1)
	g.Expect(ml.TypeOf(err)).To(gomega.Equal(ml.ErrUnavailable))
}
