package slope

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFit(t *testing.T) {
	tests := map[string]struct {
		points    []Point
		intercept float64
		slope     float64
		rSquared  float64
	}{
		"straight": {[]Point{{1, 5}, {2, 7}, {4, 11}}, 3, 2, 1},
		"flat":     {[]Point{{1, 4}, {2, 4}}, 4, 0, 1},
		"one size": {[]Point{{1, 4}, {1, 6}}, 5, 0, 0},
		"bent":     {[]Point{{0, 0}, {1, 1}, {2, 4}}, -1.0 / 3, 2, 0.923},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := Fit(tt.points)
			require.InDelta(t, tt.intercept, l.Intercept(), 1e-9)
			require.InDelta(t, tt.slope, l.Slope(), 1e-9)
			require.InDelta(t, tt.rSquared, l.RSquared(), 1e-3)
		})
	}
}
