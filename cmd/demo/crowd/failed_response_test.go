package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/reception"
)

// TestFailureOfTargetIsNotCalledNotRun guards against a failure of a service's worker, or of an engine, that our own interface
// calls 'not run': any status, with a body of any length.
func TestFailureOfTargetIsNotCalledNotRun(t *testing.T) {
	const beyondRecord, beyondLimit = 100_000, 9 << 20
	paths := map[string]struct{ path, body string }{
		"service": {"/bookings/x", "x"},
		"engine":  {"/v1/chat/completions", chatBody},
	}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		for _, size := range []int{0, 10, beyondRecord, beyondLimit} {
			for name, p := range paths {
				if name == "engine" && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
					// By these an engine refuses a chat.
					continue
				}
				t.Run(fmt.Sprintf("%s, %d, %d bytes", name, status, size), func(t *testing.T) {
					r := startEndlessOwn(t, func(w io.Writer, head string) error {
						_, err := fmt.Fprintf(w, "HTTP/1.1 %d Failed\r\n%sContent-Length: %d\r\n\r\n%s", status, head, size, strings.Repeat("x", size))
						return err
					})
					q, err := http.NewRequest(http.MethodPost, "http://"+r.addresses["callers"]+p.path, strings.NewReader(p.body))
					require.NoError(t, err)
					q.Header.Set("Authorization", "Bearer "+stage.APIKey(workspace))
					q.Header.Set("Content-Type", "application/json")
					w, err := http.DefaultClient.Do(q)
					require.NoError(t, err)
					raw, _ := io.ReadAll(w.Body)
					require.NoError(t, w.Body.Close())
					state := w.Header.Get(reception.RunStateHeader)
					require.Contains(t, []string{"done", "unknown"}, state, "%d %.200s", w.StatusCode, raw)
				})
			}
		}
	}
}
