package probation

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/crew"
	"vanillalug.example/platform/platformtest"
)

// TestAsk checks what is concluded from what a target says, and guards against taking the word of another target, or of
// another run of it.
func TestAsk(t *testing.T) {
	const path = "/healthz"
	write := func(text string) func(*platformtest.Target) {
		return func(x *platformtest.Target) { x.SetHealth(func(c net.Conn) { _, _ = io.WriteString(c, text) }) }
	}
	none := func(*platformtest.Target) {}
	tests := map[string]struct {
		change func(*platformtest.Target)
		path   string
		start  int64
		run    bool
		want   string
	}{
		"serves":                         {none, path, 1, false, "serves"},
		"serves, its run isn't asked":    {none, path, 9, false, "serves"},
		"serves as the run":              {none, path, 1, true, "serves"},
		"serves as another run":          {none, path, 9, true, "other run"},
		"entry without a start":          {none, path, 0, true, "other run"},
		"says nothing of its run":        {func(x *platformtest.Target) { x.SetWithoutReport(true) }, path, 1, true, "other run"},
		"neither says anything":          {func(x *platformtest.Target) { x.SetWithoutReport(true) }, path, 0, true, "serves"},
		"leaves":                         {func(x *platformtest.Target) { x.SetLeaving(true) }, path, 1, true, "leaving"},
		"drains":                         {write("HTTP/1.1 503 Service Unavailable\r\nX-Instance-Id: p1\r\nContent-Length: 0\r\n\r\n"), path, 1, true, "unhealthy"},
		"leaves, and its checks pass":    {write("HTTP/1.1 200 OK\r\nX-Instance-Id: p1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"), path, 1, true, "leaving"},
		"health of unknown length":       {write("HTTP/1.1 200 OK\r\nX-Instance-Id: p1\r\n\r\n"), path, 1, false, "serves"},
		"another target":                 {write("HTTP/1.1 200 OK\r\nX-Instance-Id: p2\r\nContent-Length: 0\r\n\r\n"), path, 1, true, "no answer"},
		"no HTTP":                        {write("hello\r\n\r\n"), path, 1, true, "no answer"},
		"gone":                           {func(x *platformtest.Target) { x.Close() }, path, 1, true, "no answer"},
		"a service without health check": {none, "", 1, true, "no answer"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			stand, err := platformtest.NewTarget("p1", "s", false)
			require.NoError(t, err)
			t.Cleanup(stand.Close)
			tt.change(stand)
			target := crew.NewTarget("p1", "s", stand.Address(), crew.WithStartMillis(tt.start))
			answer := NewProber(channel.Dial).Ask(context.Background(), Question{Target: target, HealthPath: tt.path, Run: tt.run})
			require.Equal(t, tt.want, answer.String())
			if !tt.run {
				require.Zero(t, stand.Reports())
			}
		})
	}
}
