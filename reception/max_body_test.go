package reception

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMaxBody guards against a server that sends a body without end: the client kept all of it.
func TestMaxBody(t *testing.T) {
	const limit = 1 << 20
	tests := map[string]struct {
		size  int
		whole bool
	}{
		"within the limit": {limit, true},
		"one byte more":    {limit + 1, false},
		"without end":      {1 << 30, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				part := make([]byte, 1<<10)
				for sent := 0; sent < tt.size; sent += len(part) {
					if _, err := w.Write(part[:min(len(part), tt.size-sent)]); err != nil {
						return
					}
				}
			}))
			t.Cleanup(server.Close)
			r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL, nil)
			require.NoError(t, err)
			resp, err := NewClient("max-body", WithMaxBody(limit)).DoRequest(r)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			require.LessOrEqual(t, len(body), limit)
			if tt.whole {
				require.NoError(t, err)
				require.Len(t, body, tt.size)
				return
			}
			var tooLarge *BodyTooLargeError
			require.ErrorAs(t, err, &tooLarge)
		})
	}
}

// TestReadResponseBody checks the bound on a response that is kept whole.
func TestReadResponseBody(t *testing.T) {
	const limit = 100_000
	for name, length := range map[string]int64{"stated": limit, "unknown": -1} {
		for size, whole := range map[int]bool{0: true, 1: true, 4096: true, limit: true, limit + 1: false, 4 * limit: false} {
			stated := length
			if stated >= 0 {
				stated = int64(size)
			}
			resp := &http.Response{ContentLength: stated, Body: io.NopCloser(io.LimitReader(zeros{}, int64(size)))}
			body, err := ReadResponseBody(context.Background(), resp, limit)
			if !whole {
				var tooLarge *BodyTooLargeError
				require.ErrorAs(t, err, &tooLarge, name)
				continue
			}
			require.NoError(t, err, name)
			require.Len(t, body, size, name)
		}
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
