package vanillalug

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStoreRevision(t *testing.T) {
	tests := map[string]struct {
		before, after StoreRevision
		text          string
	}{
		"later in the same epoch":                 {NewStoreRevision(0, 4), NewStoreRevision(0, 5), "5"},
		"restored, with a lower number":           {NewStoreRevision(1, 900), NewStoreRevision(2, 880), "2/880"},
		"restored, with a number assigned twice":  {NewStoreRevision(1, 900), NewStoreRevision(2, 900), "2/900"},
		"first epoch that the store announces":    {NewStoreRevision(0, 900), NewStoreRevision(1, 1), "1/1"},
		"every change is after the zero revision": {StoreRevision{}, NewStoreRevision(0, 1), "1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.True(t, tt.after.After(tt.before))
			require.False(t, tt.before.After(tt.after))
			require.False(t, tt.after.After(tt.after))
			require.False(t, tt.after.IsZero())
			require.Equal(t, tt.text, tt.after.String())
		})
	}
}
