package fair_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that failures are
// reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
