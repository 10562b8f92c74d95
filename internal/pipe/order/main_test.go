package order_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run has the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
