// Package seeded runs a package's tests with a fixed seed for rapid, so that CI
// gives the same verdict every time. A longer or other run is a matter of
// flags: go test ./proof -rapid.seed=7 -rapid.checks=100000.
//
//	func TestMain(m *testing.M) { seeded.Main(m) }
package seeded

import (
	"flag"
	"os"
	"testing"
)

// defaults are the values of rapid's flags that are not given.
var defaults = map[string]string{
	"rapid.seed":       "20261202",
	"rapid.checks":     "300",
	"rapid.nofailfile": "true",
}

// Main runs the tests and exits. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package does not use rapid
		}
	}
	os.Exit(m.Run())
}
