package reception

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadBody(t *testing.T) {
	const limit = 8
	tests := map[string]struct {
		body     string
		tooLarge bool
	}{
		"empty":        {"", false},
		"at the limit": {"12345678", false},
		"over it":      {"123456789", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			raw, err := ReadBody(strings.NewReader(tt.body), limit)
			if !tt.tooLarge {
				require.NoError(t, err)
				require.Equal(t, tt.body, string(raw))
				return
			}
			var tooLarge *BodyTooLargeError
			require.ErrorAs(t, err, &tooLarge)
			require.Equal(t, limit, tooLarge.Limit())
			require.Empty(t, raw)
		})
	}
}
