// Package seeded runs a package's tests with a fixed seed for rapid, so that CI gives
// the same result every time. Flags select another seed or a longer run:
// go test ./proof -rapid.seed=7 -rapid.checks=100000.
//
//	func TestMain(m *testing.M) { seeded.Main(m) }
package seeded

import (
	"flag"
	"os"
	"testing"
)

// defaults holds the values of rapid's flags that the command line does not set.
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
