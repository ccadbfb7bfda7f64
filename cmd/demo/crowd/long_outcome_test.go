package crowd

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/platform/platformtest"
)

// TestLongOutcomeIsWhole guards against a response to a non-idempotent call that comes without its
// body, as the body is too long to be recorded with the outcome.
func TestLongOutcomeIsWhole(t *testing.T) {
	r := startOwn(t, platformtest.Serve)
	for _, size := range []int{1000, 100_000, 900_000} {
		q, err := http.NewRequest(http.MethodPost, "http://"+r.addresses["callers"]+"/bookings/x", strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		q.Header.Set("Authorization", "Bearer "+stage.APIKey(workspace))
		w, err := http.DefaultClient.Do(q)
		require.NoError(t, err)
		body, err := io.ReadAll(w.Body)
		require.NoError(t, err)
		require.NoError(t, w.Body.Close())
		require.Less(t, w.StatusCode, http.StatusMultipleChoices)
		require.GreaterOrEqual(t, len(body), size)
	}
}
