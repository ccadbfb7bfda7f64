package reception

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIncompleteBodyTellsWhatArrived checks that the error of a response that was cut
// says how much of it had arrived: it tells a slow link from a silent server.
func TestIncompleteBodyTellsWhatArrived(t *testing.T) {
	const sent = 5000
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, sent))
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, http.NoBody)
	require.NoError(t, err)
	resp, err := NewClient("incomplete-body").DoRequest(r)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	var incomplete *IncompleteBodyError
	require.ErrorAs(t, err, &incomplete)
	require.EqualValues(t, sent, incomplete.Received())
	require.True(t, errors.Is(err, context.DeadlineExceeded))
}

// TestIdleTimeout checks that a response is cut when it doesn't begin or stops arriving,
// but not because it is long.
func TestIdleTimeout(t *testing.T) {
	const first, idle, pause, parts = 300 * time.Millisecond, 150 * time.Millisecond, 50 * time.Millisecond, 12
	tests := map[string]struct {
		before, after time.Duration
		err           bool
	}{
		"arrives for longer than both timeouts": {0, 0, false},
		"doesn't begin":                         {2 * first, 0, true},
		"stops":                                 {0, 2 * first, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(tt.before)
				for range parts {
					_, _ = w.Write([]byte("part"))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(pause)
				}
				time.Sleep(tt.after)
			}))
			defer server.Close()
			ctx, cancel := WithIdleTimeout(context.Background(), first, idle)
			defer cancel()
			raw, err := get(ctx, server.URL)
			if !tt.err {
				require.NoError(t, err)
				require.Len(t, raw, parts*len("part"))
				require.True(t, Receiving(ctx))
				return
			}
			require.ErrorIs(t, err, context.DeadlineExceeded)
			var timeout *ResponseTimeoutError
			require.ErrorAs(t, err, &timeout)
		})
	}
}

func get(ctx context.Context, url string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := NewClient("idle-timeout").DoRequest(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}
