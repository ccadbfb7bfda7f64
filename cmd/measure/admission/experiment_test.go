package admission

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/lugtest/enginetest"
)

// TestRunRepeats checks that the same seeds give the same outcome, however many
// of them run at once.
func TestRunRepeats(t *testing.T) {
	const seeds = 3
	p := enginetest.Pattern{SurgeFactor: 6}
	for _, w := range Policies() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			first := Run(p, w, seeds)
			require.Equal(t, first, Run(p, w, seeds))
			require.InDelta(t, 1, first.Served.Mean+first.Rejected.Mean+first.Expired.Mean, 1e-9, "each request ends once")
		})
	}
}

func TestPlot(t *testing.T) {
	for _, name := range []string{"a.svg", "a.png"} {
		file := filepath.Join(t.TempDir(), name)
		require.NoError(t, Plot(file, []float64{1, 4}, 1))
		info, err := os.Stat(file)
		require.NoError(t, err)
		require.NotZero(t, info.Size())
	}
	require.Error(t, Plot(filepath.Join(t.TempDir(), "a.txt"), []float64{1}, 1), "unsupported file extension")
}
