// Package fixed gives property tests the same draws at every run. Import it for its effect; -rapid.seed=N on
// the command line draws others.
package fixed

import (
	"flag"

	_ "pgregory.net/rapid" // its flags
)

func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}
