// Package prover_test checks the product's invariants end to end on small
// fleets of real processes. Each invariant must hold, and must be violated when
// the mechanism that enforces it is disabled. A soak run (build tag "soak")
// checks all of them under random failures.
package prover_test

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// TestProver runs the end-to-end specs.
func TestProver(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	sc, rc := ginkgo.GinkgoConfiguration()
	sc.RandomSeed = 1
	ginkgo.RunSpecs(t, "failures on real processes", sc, rc)
}

var _ = ginkgo.BeforeSuite(buildPrograms)

var _ = ginkgo.AfterSuite(func() { _ = os.RemoveAll(binDir) })
