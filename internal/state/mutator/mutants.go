//go:build mutants

package mutator

import "os"

// disabled is the mechanism that this process runs without.
var disabled = Mechanism(os.Getenv("MULBERRYLEVER_MUTANT"))

// Disabled reports whether a mechanism is disabled.
func Disabled(me Mechanism) bool { return me == disabled }
