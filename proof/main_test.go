package proof

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that CI gives the same verdict every time. A
// longer run takes another: go test ./proof -rapid.seed=7 -rapid.checks=100000.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
