package courier

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowAndStalledStreams checks that a stream lasts as long as its events arrive
// within the idle timeout, or its comments within that and its events within the
// timeout of the first one, and that one that sends only a byte now and then ends.
func TestSlowAndStalledStreams(t *testing.T) {
	const first, idle = 600 * time.Millisecond, 150 * time.Millisecond
	tests := map[string]struct {
		pieces  []string
		pause   time.Duration
		events  int
		stalled bool
	}{
		"events slower than the first timeout in sum": {[]string{"data: 1\n\n", "data: 2\n\n", "data: 3\n\n", "data: 4\n\n", "data: 5\n\n", "data: 6\n\n", "data: 7\n\n"}, 100 * time.Millisecond, 7, false},
		"comments between two events":                 {[]string{"data: 1\n\n", ":\n\n", ":\n\n", ":\n\n", "data: 2\n\n", ":\n\n", ":\n\n", "data: 3\n\n"}, 100 * time.Millisecond, 3, false},
		"comments without end":                        {append([]string{"data: 1\n\n"}, repeat(":\n\n", 60)...), 50 * time.Millisecond, 1, true},
		"an event byte by byte":                       {append([]string{"data: 1\n\n"}, repeat("d", 60)...), 50 * time.Millisecond, 1, true},
		"comments before the first event":             {repeat(":\n\n", 60), 50 * time.Millisecond, 0, true},
		"silence":                                     {[]string{"data: 1\n\n", "data: 2\n\n"}, 3 * idle, 1, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for _, p := range tt.pieces {
					_, _ = w.Write([]byte(p))
					_ = http.NewResponseController(w).Flush()
					select {
					case <-r.Context().Done():
						return
					case <-time.After(tt.pause):
					}
				}
			}))
			defer server.Close()
			start := time.Now()
			s, err := newTestEngineClient(first, idle).Start(context.Background(), strings.TrimPrefix(server.URL, "http://"), ChatCall{Request: "q"})
			require.NoError(t, err)
			defer s.Close()
			n := 0
			for ; err == nil; n++ {
				_, err = s.Next()
			}
			require.Equal(t, tt.events, n-1)
			var timeout *IdleTimeoutError
			require.Equal(t, tt.stalled, errors.As(err, &timeout), "%v", err)
			if tt.stalled {
				require.Less(t, time.Since(start), 2*first+idle)
			}
		})
	}
}

func repeat(s string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = s
	}
	return out
}
