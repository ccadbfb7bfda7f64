package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// TestCallerDisconnects checks that the target's work is cancelled when the caller
// disconnects.
func TestCallerDisconnects(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	targets[0].Enqueue(platformtest.NoResponse)
	client := &http.Client{Timeout: 50 * time.Millisecond}
	r, err := http.NewRequest(http.MethodGet, tr.entry.URL+"/safe/x", nil)
	require.NoError(t, err)
	platformtest.SetCallerHeaders(r, "id", testKey, time.Second)
	w, err := client.Do(r)
	if err == nil {
		_ = w.Body.Close()
	}
	require.Error(t, err)
	require.Eventually(t, func() bool { return targets[0].OpenConns() == 0 }, 500*time.Millisecond, pollInterval)
	require.Equal(t, 1, countExecutions("id", targets), "no retry after the caller has disconnected")
}

// TestHalfClosed checks that a caller that closes its side of the connection
// counts as disconnected, and never reads a success.
func TestHalfClosed(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	targets[0].SetDefault(platformtest.NoResponse)
	c, err := net.Dial("tcp4", strings.TrimPrefix(tr.entry.URL, "http://"))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, platformtest.Head(http.MethodGet, "/safe/x", "id", testKey)+"\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return countExecutions("id", targets) == 1 }, waitTimeout, pollInterval)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	out, err := io.ReadAll(c)
	require.NoError(t, err)
	require.NotContains(t, string(out), "200 OK")
}

// TestSlowCaller checks that a caller that does not send its whole body gets a 408
// at its deadline, and that no target gets the request.
func TestSlowCaller(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	start := time.Now()
	response := tr.raw(platformtest.Head(http.MethodPost, "/short/x", "id", testKey) + "Content-Length: 10\r\n\r\nhalf")
	require.Contains(t, response, "408 Request Timeout")
	require.Less(t, time.Since(start), time.Second)
	require.Zero(t, countExecutions("id", targets))
}
