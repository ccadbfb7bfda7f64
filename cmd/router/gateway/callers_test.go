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

// TestCallerLeaves: the target's work is cancelled when the caller is gone.
func TestCallerLeaves(t *testing.T) {
	s := newStation(t)
	targets := s.add(plain, "p1")
	s.ready(1)
	targets[0].Enqueue(platformtest.NoResponse)
	client := &http.Client{Timeout: 50 * time.Millisecond}
	r, err := http.NewRequest(http.MethodGet, s.entry.URL+"/safe/x", nil)
	require.NoError(t, err)
	platformtest.SetCallerHeaders(r, "id", testKey, time.Second)
	w, err := client.Do(r)
	if err == nil {
		_ = w.Body.Close()
	}
	require.Error(t, err)
	require.Eventually(t, func() bool { return targets[0].OpenConns() == 0 }, 500*time.Millisecond, tick)
	require.Equal(t, 1, runsOf("id", targets), "nothing is sent again for a caller that is gone")
}

// TestHalfClosed: a caller that ends its side of the connection is taken to be
// gone; what it may still read is never a success.
func TestHalfClosed(t *testing.T) {
	s := newStation(t)
	targets := s.add(plain, "p1")
	s.ready(1)
	targets[0].SetDefault(platformtest.NoResponse)
	c, err := net.Dial("tcp4", strings.TrimPrefix(s.entry.URL, "http://"))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, platformtest.Head(http.MethodGet, "/safe/x", "id", testKey)+"\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return runsOf("id", targets) == 1 }, soon, tick)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	out, err := io.ReadAll(c)
	require.NoError(t, err)
	require.NotContains(t, string(out), "200 OK")
}

// TestSlowCaller: a caller that does not send its whole body is answered when
// its time is up, and one that reads nothing holds no target beyond it.
func TestSlowCaller(t *testing.T) {
	s := newStation(t)
	targets := s.add(plain, "p1")
	s.ready(1)
	begin := time.Now()
	answer := s.raw(platformtest.Head(http.MethodPost, "/short/x", "id", testKey) + "Content-Length: 10\r\n\r\nhalf")
	require.Contains(t, answer, "408 Request Timeout")
	require.Less(t, time.Since(begin), time.Second)
	require.Zero(t, runsOf("id", targets))
}
