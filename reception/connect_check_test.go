package reception

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConnectCheck guards against a request that is sent although what its target may be
// sent has changed while the connection was being opened.
func TestConnectCheck(t *testing.T) {
	refused := errors.New("not any more")
	tests := map[string]error{"allowed": nil, "refused": refused}
	for name, result := range tests {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
			defer server.Close()
			ctx := WithConnectCheck(t.Context(), func() error { return result })
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, nil)
			require.NoError(t, err)
			w, err := NewClient("connect-check", WithoutConnectionReuse()).DoRequest(r)
			if result == nil {
				require.NoError(t, err)
				require.NoError(t, w.Body.Close())
				require.Equal(t, int64(1), served.Load())
				return
			}
			require.ErrorIs(t, err, refused)
			require.True(t, IsDialError(err))
			require.Zero(t, served.Load())
		})
	}
}
