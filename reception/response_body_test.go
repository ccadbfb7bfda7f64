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
