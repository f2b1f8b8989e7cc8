// Package proptest fixes the seeds of property tests, so that every run gives
// the same verdict. Other seeds, more checks and more steps are had by rapid's
// own flags, as in:
//
//	go test ./internal/ledger -rapid.seed=0 -rapid.checks=10000 -rapid.steps=200
package proptest

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed is used unless -rapid.seed is given.
const fixedSeed = "20261202"

// Main runs the tests of a package with the fixed seed. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		set("rapid.seed", fixedSeed)
	}
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
