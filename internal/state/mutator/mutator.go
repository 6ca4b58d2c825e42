// Package mutator disables single mechanisms for mutation tests, which show
// that the check of an invariant fails without the mechanism that enforces it.
// In a program built without the tag "mutants" every mechanism is enabled, and
// the compiler removes the switches.
package mutator

// Mechanism identifies a mechanism that a mutant lacks.
type Mechanism string

// The mechanisms. Each one enforces an invariant.
const (
	Deadlines  Mechanism = "deadlines"  // requests end at their deadline
	Orphans    Mechanism = "orphans"    // engine memory whose grant nobody holds is freed
	ColdLimit  Mechanism = "coldLimit"  // cold endpoints get a limited load
	DomainsOut Mechanism = "domainsOut" // domains out of service get no work
	Positions  Mechanism = "positions"  // a retry continues after the last token
	NotRun     Mechanism = "notRun"     // a request is reported as not run only if that is certain
	Claims     Mechanism = "claims"     // calls that may not be repeated are claimed
	Leaving    Mechanism = "leaving"    // leaving endpoints get no work
	Drain      Mechanism = "drain"      // a shutdown waits for running requests
	Versions   Mechanism = "versions"   // only a newer configuration is accepted
)
