//go:build mutants

package mutator

import "os"

// mutant names the mechanism that is switched off.
var mutant = Mechanism(os.Getenv("MULBERRYLEVER_MUTANT"))

// Off tells whether a mechanism is switched off.
func Off(me Mechanism) bool { return me == mutant }
