package lessor_test

import "flag"

// init fixes the seed. -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
