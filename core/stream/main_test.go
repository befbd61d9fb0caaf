package stream

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that a failure is
// reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
