// Package mutator switches single mechanisms off, so that tests can show that
// the check of an invariant fails without its mechanism. In a program built
// without the tag "mutants" every mechanism is on, and the compiler drops the
// switches.
package mutator

// Mechanism names what a mutant lacks.
type Mechanism string

// The mechanisms, each the one that keeps an invariant.
const (
	Deadlines  Mechanism = "deadlines"  // requests end at their deadline
	Orphans    Mechanism = "orphans"    // holds that nobody answers for are cancelled
	ColdLimit  Mechanism = "coldLimit"  // a cold endpoint is limited
	DomainsOut Mechanism = "domainsOut" // domains out of service get nothing
	Positions  Mechanism = "positions"  // a retry goes on after the last token
	NotRun     Mechanism = "notRun"     // only what certainly has not run is called so
	Claims     Mechanism = "claims"     // calls that may not be repeated are claimed
	Leaving    Mechanism = "leaving"    // leaving endpoints get nothing
	Drain      Mechanism = "drain"      // a stop waits for running requests
	Versions   Mechanism = "versions"   // only newer configuration is taken over
)
