//go:build mutants

package mutator

import "os"

// mutant names the mechanism that is switched off.
var mutant = Mechanism(os.Getenv("MULBERRYLEVER_MUTANT"))

// Disabled tells whether a mechanism is switched off.
func Disabled(me Mechanism) bool { return me == mutant }
