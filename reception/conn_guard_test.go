package reception

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixedLimits are ConnLimits that do not change.
type fixedLimits struct{ header, idle time.Duration }

func (l fixedLimits) HeaderLimit() time.Duration { return l.header }
func (l fixedLimits) IdleLimit() time.Duration   { return l.idle }

// TestConnGuard checks which connections the guard closes: those that exceed the
// limits for a header or when idle, but not those with a request in progress.
func TestConnGuard(t *testing.T) {
	const limit, long = 100 * time.Millisecond, time.Minute
	head := "GET /x HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		limits fixedLimits
		sent   string
		want   string
		closed bool
	}{
		"new connection sends nothing":         {fixedLimits{limit, long}, "", "", true},
		"incomplete header":                    {fixedLimits{limit, long}, head, "", true},
		"idle within the limit":                {fixedLimits{limit, long}, head + "\r\n", "done", false},
		"idle beyond the limit":                {fixedLimits{long, limit}, head + "\r\n", "done", true},
		"incomplete second header":             {fixedLimits{long, limit}, head + "\r\n" + head, "done", true},
		"response takes longer than the limit": {fixedLimits{limit, long}, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", "done", false},
		"no limits":                            {fixedLimits{}, head, "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newGuardedServer(newConnGuard(tt.limits), 2*limit)
			defer s.Close()
			c, err := net.Dial("tcp4", s.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, tt.sent)
			require.NoError(t, err)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(5*limit)))
			got, err := io.ReadAll(c)
			require.Contains(t, string(got), tt.want)
			require.Equal(t, strings.Contains(tt.sent, "slow") || tt.want != "", len(got) > 0)
			require.Equal(t, tt.closed, err == nil, "%v", err)
		})
	}
}

// newGuardedServer returns a server whose path /slow takes the given time.
func newGuardedServer(g *connGuard, slow time.Duration) *httptest.Server {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(slow)
		}
		_, _ = io.WriteString(w, "done")
	})
	s := httptest.NewUnstartedServer(handler)
	s.Config.ConnState = g.connState
	s.Start()
	return s
}

// TestConnGuardReplacedTimer checks that a timer that has fired just before the next
// request was accepted does not close the connection afterwards.
func TestConnGuardReplacedTimer(t *testing.T) {
	g := newConnGuard(fixedLimits{})
	c, other := net.Pipe()
	defer func() { _ = other.Close() }()
	g.startTimer(c, time.Hour)
	fired := g.timers[c]
	g.stopTimer(c)
	g.startTimer(c, time.Hour)
	g.closeExpired(c, fired)
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Hour)), "the connection is open")
	g.closeExpired(c, g.timers[c])
	require.Error(t, c.SetDeadline(time.Now().Add(time.Hour)), "the connection is closed")
}
