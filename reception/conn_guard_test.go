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

// fixedLimits do not change.
type fixedLimits struct{ header, idle time.Duration }

func (l fixedLimits) HeaderLimit() time.Duration { return l.header }
func (l fixedLimits) IdleLimit() time.Duration   { return l.idle }

// TestConnGuard: what a connection may keep the server waiting for.
func TestConnGuard(t *testing.T) {
	const limit, long = 100 * time.Millisecond, time.Minute
	head := "GET /x HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		limits fixedLimits
		sent   string
		want   string
		closed bool
	}{
		"a new connection that sends nothing": {fixedLimits{limit, long}, "", "", true},
		"a header that does not end":          {fixedLimits{limit, long}, head, "", true},
		"a kept connection":                   {fixedLimits{limit, long}, head + "\r\n", "done", false},
		"an idle connection":                  {fixedLimits{long, limit}, head + "\r\n", "done", true},
		"a second header that does not end":   {fixedLimits{long, limit}, head + "\r\n" + head, "done", true},
		"an answer that takes longer":         {fixedLimits{limit, long}, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", "done", false},
		"no limit is known":                   {fixedLimits{}, head, "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := guarded(newConnGuard(tt.limits), 2*limit)
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

// guarded is a server whose path /slow takes the time.
func guarded(g *connGuard, slow time.Duration) *httptest.Server {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(slow)
		}
		_, _ = io.WriteString(w, "done")
	})
	s := httptest.NewUnstartedServer(handler)
	s.Config.ConnState = g.watch
	s.Start()
	return s
}
