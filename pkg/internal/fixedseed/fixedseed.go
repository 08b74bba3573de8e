// Package fixedseed, imported by a test, gives property tests the same seed in each run, so that a failure is the same in each.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
