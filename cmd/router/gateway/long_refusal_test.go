package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// restDelay is the time between the two parts of a long refusal, which is longer than a request takes.
const restDelay = 50 * time.Millisecond

// newLongRefuser returns the address of a target that refuses its first request, with a body of which all but the first
// bytes comes late, and runs the others.
func newLongRefuser(t *testing.T, body string, first int) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	refused := &atomic.Bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveLongRefusal(c, body, first, refused)
		}
	}()
	return l.Addr().String()
}

func serveLongRefusal(c net.Conn, body string, first int, refused *atomic.Bool) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		head := http.Header{}
		platformtest.SetTargetHeaders(head, r)
		if refused.Swap(true) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			_ = head.Write(c)
			_, _ = io.WriteString(c, "Content-Length: 4\r\n\r\ndone")
			continue
		}
		platformtest.SetNotRun(head)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n")
		_ = head.Write(c)
		_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body[:first])
		time.Sleep(restDelay)
		_, _ = io.WriteString(c, body[first:])
	}
}

// TestLongRefusalLeavesNothing guards against the end of a long refusal that is read as the response to the next
// request on the connection.
func TestLongRefusalLeavesNothing(t *testing.T) {
	response := "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: second\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		rest  string
		first int
	}{
		"rest is no response":                  {strings.Repeat("x", beyondBuffer), maxStrayBytes},
		"rest is a response":                   {response, maxStrayBytes},
		"rest is a response, one byte further": {response, maxStrayBytes + 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tr := newTestRouter(t)
			stand, err := platformtest.NewTarget("p1", plainService, false)
			require.NoError(t, err)
			t.Cleanup(stand.Close)
			entry := stand.Entry("ready")
			entry["address"] = newLongRefuser(t, strings.Repeat("x", tt.first)+tt.rest, tt.first)
			tr.store.PutJSON("servers", "p1", entry)
			tr.waitReady(1)
			w := tr.post("/open/x", "first", "work")
			require.NoError(t, w.err)
			require.Equal(t, http.StatusServiceUnavailable, w.status)
			w = tr.post("/once/x", "second", "work")
			require.NoError(t, w.err)
			require.Equal(t, http.StatusOK, w.status, w.body)
			require.Equal(t, "done", w.body)
		})
	}
}
