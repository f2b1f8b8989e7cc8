// Package proptest fixes the seed of property tests, so that every run has the same result.
// The flags of package rapid select another seed, more checks and more steps:
//
//	go test ./internal/ledger -rapid.seed=0 -rapid.checks=10000 -rapid.steps=200
package proptest

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed is the seed unless the flag -rapid.seed is given.
const fixedSeed = "20261202"

// Main runs the tests of a package with the fixed seed and exits the process. Call it from
// TestMain. Rapid writes no files for failed tests.
func Main(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		setFlag("rapid.seed", fixedSeed)
	}
	setFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
