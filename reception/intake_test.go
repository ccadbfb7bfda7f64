package reception

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/intake"
)

// startHeld starts a server with an Intake whose handler reads the body, except on the path /skip.
func startHeld(t *testing.T, limits intake.Limits) (address string, evictions chan Eviction) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address = l.Addr().String()
	require.NoError(t, l.Close())
	evictions = make(chan Eviction, 10)
	held := NewIntake(intake.NewAccount(limits), func(e Eviction) { evictions <- e })
	server, err := NewServer("test", address, WithIntake(held), WithHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/skip" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		body, err := ReadRequestBody(w, r, 1<<20, time.Time{})
		if err != nil {
			http.Error(w, err.Error(), BodyStatus(err))
			return
		}
		_, _ = fmt.Fprintf(w, "%d bytes", len(body))
	})))
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Shutdown(t.Context()) })
	return address, evictions
}

func dialHeld(t *testing.T, address, text string) net.Conn {
	var c net.Conn
	require.Eventually(t, func() bool {
		var err error
		c, err = net.Dial("tcp4", address)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	t.Cleanup(func() { _ = c.Close() })
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	return c
}

const head = "POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s"

// TestBodiesOfAServer guards against bodies that are cut or refused within the limits, and against
// connections that stay open, or are reused, behind a body that was not read.
func TestBodiesOfAServer(t *testing.T) {
	limits := intake.DefaultLimits(136 << 20)
	limits.BodyRate, limits.BodyGrace = 1<<20, 300*time.Millisecond
	address, _ := startHeld(t, limits)
	tests := map[string]struct {
		path, field, body string
		want              string
		closed            bool
	}{
		"short":              {"/read", "Content-Length: 5", "12345", "5 bytes", false},
		"longer than buffer": {"/read", "Content-Length: 40000", strings.Repeat("x", 40000), "40000 bytes", false},
		"chunks":             {"/read", "Transfer-Encoding: chunked", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "5 bytes", false},
		"length over limit":  {"/read", "Content-Length: 9000000", "half", "413 ", true},
		"chunk over limit":   {"/read", "Transfer-Encoding: chunked", "200000\r\n" + strings.Repeat("x", 1<<20+1), "413 ", true},
		"stops":              {"/read", "Content-Length: 40000", "half", "408 ", true},
		"not read, stops":    {"/skip", "Content-Length: 40000", "half", "404 ", true},
		"not read, chunks":   {"/skip", "Transfer-Encoding: chunked", "4000\r\nhalf", "404 ", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := dialHeld(t, address, fmt.Sprintf(head, tt.path, tt.field, tt.body))
			if !tt.closed {
				_, err := fmt.Fprintf(c, head, "/read", "Connection: close\r\nContent-Length: 0", "")
				require.NoError(t, err)
			}
			got, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Contains(t, string(got), tt.want)
			require.Equal(t, !tt.closed, strings.Contains(string(got), "0 bytes"), "the next request: %s", got)
		})
	}
}

// TestEvictedBodyIsRefused guards against a body that is given up without a refusal, or that takes the
// router's memory from a request that sends.
func TestEvictedBodyIsRefused(t *testing.T) {
	limits := intake.DefaultLimits(0)
	limits.Size, limits.Reserve = 900<<10, 0
	address, evictions := startHeld(t, limits)
	stopped := dialHeld(t, address, fmt.Sprintf(head, "/read", "Content-Length: 300000", strings.Repeat("x", 250_000)))
	time.Sleep(time.Second)
	ordinary := dialHeld(t, address, fmt.Sprintf(head, "/read", "Connection: close\r\nContent-Length: 300000", strings.Repeat("x", 300_000)))
	got, err := io.ReadAll(ordinary)
	require.NoError(t, err)
	require.Contains(t, string(got), "300000 bytes")
	got, err = io.ReadAll(stopped)
	require.NoError(t, err)
	require.Contains(t, string(got), "408 Request Timeout")
	require.Equal(t, intake.Body, (<-evictions).Kind)
}
