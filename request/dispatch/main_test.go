package dispatch

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that their results are
// reproducible; -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
