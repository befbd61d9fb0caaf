package stream

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties, so that a failure repeats.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
