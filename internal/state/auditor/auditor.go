// Package auditor checks the invariants inside the program. A violation is
// logged, counted in a metric and, where the settings say so, ends the
// process.
package auditor

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/VictoriaMetrics/metrics"
)

// Invariant names one of the promises of the product.
type Invariant string

// The invariants.
const (
	FinishInTime       Invariant = "finishInTime"       // every admitted request finishes or fails within its time
	MemoryReturned     Invariant = "memoryReturned"     // no engine loses memory for good
	ColdCapacity       Invariant = "coldCapacity"       // a cold endpoint gets no more than it can carry
	DomainOut          Invariant = "domainOut"          // a domain out of service gets no new work
	WholeAnswer        Invariant = "wholeAnswer"        // every caller gets the whole answer to its own request
	NotRunTrue         Invariant = "notRunTrue"         // a refusal that says not run is true
	AtMostOnce         Invariant = "atMostOnce"         // a call that may not be repeated runs at most once
	LeavingEndpoint    Invariant = "leavingEndpoint"    // an endpoint that is leaving gets no new work
	GracefulStop       Invariant = "gracefulStop"       // a planned stop cuts off no request
	ConfigNeverReverts Invariant = "configNeverReverts" // an accepted configuration never reverts
)

// Invariants lists the invariants in the order of the reports.
var Invariants = []Invariant{
	FinishInTime, MemoryReturned, ColdCapacity, DomainOut, WholeAnswer,
	NotRunTrue, AtMostOnce, LeavingEndpoint, GracefulStop, ConfigNeverReverts,
}

// Violation is the error for an invariant that does not hold.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Error implements the error interface.
func (vi *Violation) Error() string {
	return fmt.Sprintf("invariant %s is violated: %s", vi.Invariant, vi.Detail)
}

// Auditor checks invariants. The zero value counts and logs to the default
// logger.
type Auditor struct {
	Log             *slog.Logger
	ExitOnViolation bool // end the process at the first violation
}

// Check counts a check of an invariant. When ok is false it reports the
// violation and returns it.
func (au *Auditor) Check(in Invariant, ok bool, format string, args ...any) error {
	metrics.GetOrCreateCounter(fmt.Sprintf("mulberrylever_invariant_checks_total{invariant=%q}", in)).Inc()
	if ok {
		return nil
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("mulberrylever_invariant_violations_total{invariant=%q}", in)).Inc()
	vi := &Violation{Invariant: in, Detail: fmt.Sprintf(format, args...)}
	lo := au.Log
	if lo == nil {
		lo = slog.Default()
	}
	lo.Error("violation", "invariant", in, "detail", vi.Detail)
	if au.ExitOnViolation {
		os.Exit(70)
	}
	return vi
}
