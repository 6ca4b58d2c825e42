//go:build !mutants

package mutator

// Disabled reports whether a mechanism is disabled. Without the build tag
// "mutants" it is always false.
func Disabled(Mechanism) bool { return false }
