// Package fixedseed sets a fixed seed for property tests, so that failures are reproducible. Tests import it for its side effect.
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
