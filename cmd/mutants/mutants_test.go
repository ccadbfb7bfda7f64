package main

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMutantsApply guards against mutants whose place in the code has changed since: such a mutant tests nothing.
func TestMutantsApply(t *testing.T) {
	require.NoError(t, os.Chdir("../.."))
	mutants, err := readMutants("cmd/mutants/mutants.ini")
	require.NoError(t, err)
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			_, err := m.changed()
			require.NoError(t, err)
		})
	}
}
