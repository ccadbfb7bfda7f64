// Package lugtest helps tests: properties are checked with a fixed seed, so
// that every run gives the same verdict.
package lugtest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// The environment variables that change the seed and the number of cases for
// longer runs by hand.
const (
	SeedVariable   = "VANILLALUG_SEED"
	ChecksVariable = "VANILLALUG_CHECKS"
	StepsVariable  = "VANILLALUG_STEPS"
)

const defaultSeed = "20261204"

// Check checks a property over the number of cases, each of about the number
// of steps where the property repeats actions.
func Check(t *testing.T, checks, steps string, property func(*rapid.T)) {
	t.Helper()
	set(t, "rapid.seed", SeedVariable, defaultSeed)
	set(t, "rapid.checks", ChecksVariable, checks)
	set(t, "rapid.steps", StepsVariable, steps)
	set(t, "rapid.nofailfile", "", "true")
	rapid.Check(t, property)
}

func set(t *testing.T, name, variable, value string) {
	t.Helper()
	if v := os.Getenv(variable); variable != "" && v != "" {
		value = v
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
}
