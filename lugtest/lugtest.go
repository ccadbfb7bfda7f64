// Package lugtest runs property-based tests with a fixed seed, so that every run
// has the same result.
package lugtest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// The environment variables that override the seed, the number of cases and the
// number of steps, for longer manual runs.
const (
	SeedVariable   = "VANILLALUG_SEED"
	ChecksVariable = "VANILLALUG_CHECKS"
	StepsVariable  = "VANILLALUG_STEPS"
)

const defaultSeed = "20261204"

// Check checks a property on the given number of cases. A property that repeats
// actions runs about the given number of steps in each case.
func Check(t *testing.T, checks, steps string, property func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.seed", SeedVariable, defaultSeed)
	setFlag(t, "rapid.checks", ChecksVariable, checks)
	setFlag(t, "rapid.steps", StepsVariable, steps)
	setFlag(t, "rapid.nofailfile", "", "true")
	rapid.Check(t, property)
}

func setFlag(t *testing.T, name, variable, value string) {
	t.Helper()
	if v := os.Getenv(variable); variable != "" && v != "" {
		value = v
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
}
