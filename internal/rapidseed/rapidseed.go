// Package rapidseed fixes the seed of property tests, so that every run gives the same result.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// Main is the TestMain of a package with property tests. They use the given seed unless
// -rapid.seed sets another one, and write no files about failures.
func Main(m *testing.M, seed string) {
	flag.Parse()
	if chosen := flag.Lookup("rapid.seed"); chosen.Value.String() == chosen.DefValue {
		set("rapid.seed", seed)
	}
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // the names and values are constant
	}
}
