package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless one is given, so that
// every run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
