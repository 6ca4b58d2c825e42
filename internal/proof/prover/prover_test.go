// Package prover_test proves the invariants on small fleets of real
// processes: each is shown to be violated when its mechanism is off, and to
// hold when it is on.
package prover_test

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// TestProver runs the suite.
func TestProver(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	sc, rc := ginkgo.GinkgoConfiguration()
	sc.RandomSeed = 1
	ginkgo.RunSpecs(t, "failures on real processes", sc, rc)
}

var _ = ginkgo.BeforeSuite(build)

var _ = ginkgo.AfterSuite(func() { _ = os.RemoveAll(binDir) })
