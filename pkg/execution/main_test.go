package execution

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run draws the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}
