package commander

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestHedgePercent checks that a share that is none is refused with the option and the value.
func TestHedgePercent(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, perCent := range []float64{-1, maxHedgePercent + 1} {
		err := (&frontCommand{HedgePercent: perCent}).Execute(nil)
		g.Expect(err).To(gomega.MatchError(gomega.HavePrefix("--hedge-percent: must be from 0 to 20 (got ")))
	}
}
