// Package auditor checks the product's invariants at run time. A violation is
// logged, counted in a metric and, if the settings ask for it, ends the
// process.
package auditor

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/VictoriaMetrics/metrics"
)

// Invariant is a property that the product guarantees.
type Invariant string

// The invariants.
const (
	FinishInTime       Invariant = "finishInTime"       // every admitted request completes or fails before its deadline
	MemoryReturned     Invariant = "memoryReturned"     // engines get the memory of ended requests back
	ColdCapacity       Invariant = "coldCapacity"       // a cold endpoint gets no more work than its cold limits allow
	DomainOut          Invariant = "domainOut"          // a domain out of service gets no new work
	WholeAnswer        Invariant = "wholeAnswer"        // every caller gets the complete answer to its own request
	NotRunTrue         Invariant = "notRunTrue"         // a request that is reported as not run has not run
	AtMostOnce         Invariant = "atMostOnce"         // a call that may not be repeated runs at most once
	LeavingEndpoint    Invariant = "leavingEndpoint"    // a leaving endpoint gets no new work
	GracefulStop       Invariant = "gracefulStop"       // a planned shutdown interrupts no request
	ConfigNeverReverts Invariant = "configNeverReverts" // an accepted configuration is never replaced by an older one
)

// Invariants lists all invariants in the order used by reports.
var Invariants = []Invariant{
	FinishInTime, MemoryReturned, ColdCapacity, DomainOut, WholeAnswer,
	NotRunTrue, AtMostOnce, LeavingEndpoint, GracefulStop, ConfigNeverReverts,
}

// Violation is the error of a check that failed.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Error implements the error interface.
func (vi *Violation) Error() string {
	return fmt.Sprintf("invariant %s is violated: %s", vi.Invariant, vi.Detail)
}

// Auditor checks invariants. The zero value is ready to use and logs to the
// default logger.
type Auditor struct {
	Log             *slog.Logger
	ExitOnViolation bool // end the process at the first violation
}

// Check counts a check of an invariant. If ok is false, it logs and counts the
// violation, with a detail built from format and args, and returns it.
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
		os.Exit(70) // EX_SOFTWARE
	}
	return vi
}
