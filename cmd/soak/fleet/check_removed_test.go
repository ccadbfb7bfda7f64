package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// TestMayBeBack guards against a check of removed targets that excuses more than a late heartbeat of one whose removal a
// store acknowledged that wasn't stable.
func TestMayBeBack(t *testing.T) {
	removed := time.Now()
	tests := map[string]struct {
		late     bool
		replaced time.Duration
		want     bool
	}{
		"restored with the removal":          {true, 0, true},
		"restored within the contact time":   {true, contactTime - time.Second, true},
		"restored before the contact time":   {true, contactTime + time.Second, false},
		"restored after the removal":         {true, -time.Second, false},
		"restored, without a late heartbeat": {false, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := &platformtest.Target{}
			h := &Harness{contact: newContact(), lateHeartbeats: map[*platformtest.Target]bool{target: tt.late}}
			at := removed.Add(-tt.replaced)
			h.contact.storeReplaced.spans = []span{{begin: at.Add(-time.Millisecond), end: at.Add(time.Millisecond)}}
			require.Equal(t, tt.want, h.mayBeBack(target, removed))
		})
	}
}
