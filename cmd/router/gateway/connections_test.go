package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/fitting"
	"vanillalug.example/platform/platformtest"
)

// TestConnectionsAreKept: requests one after the other use one connection, and
// one that the target has closed meanwhile is not used.
func TestConnectionsAreKept(t *testing.T) {
	s := newStation(t)
	targets := s.add(plain, "p1")
	s.ready(1)
	for i := range 10 {
		require.Equal(t, 200, s.post("/once/x", name("a", i), "y").status)
	}
	require.Equal(t, 1, targets[0].TotalConns())
	targets[0].CloseConns()
	require.Eventually(t, func() bool { return targets[0].OpenConns() == 0 }, soon, tick)
	require.Equal(t, 200, s.post("/once/x", "b", "y").status)
	require.Equal(t, 2, targets[0].TotalConns())
}

// TestUnreachableTarget: a target that takes no connection costs nobody an
// answer, and is left alone after the first failure.
// TestPromptsAreCopied: an engine that gets a request whose shared prompt it
// lacks is told which engine holds it; callers can't say so themselves.
func TestPromptsAreCopied(t *testing.T) {
	const busy = 30
	s := newStation(t)
	targets := s.add(prompts, "e1", "e2")
	s.ready(2)
	ask := func(id string, own uint64) string {
		w := s.ask("POST", "/prompt/x", id, strings.NewReader("y"), func(r *http.Request) {
			platformtest.SetPrompt(r, "m", 0xa1, 1000, own)
			platformtest.SetCopyFrom(r, "10.9.9.9:1")
		})
		require.Equal(t, 200, w.status)
		for i, target := range targets {
			for _, run := range target.Executions() {
				if run.ID == id {
					return name("e", i+1) + " " + run.CopiedFrom()
				}
			}
		}
		return ""
	}
	first := ask("b1", 1)
	holder := 0
	if strings.HasPrefix(first, "e2") {
		holder = 1
	}
	require.NotContains(t, first, ":", "nobody holds it yet")
	require.Equal(t, first, ask("b2", 2), "the same engine holds it")
	s.g.board.Add(fitting.KeyOf(targets[holder].ID+"/1"), busy, 0)
	require.Equal(t, name("e", 2-holder)+" "+targets[holder].Address(), ask("b3", 3))
}

// TestIdleConnectionsAreDropped: once a connection turned out to be dropped, a
// request that must not be sent again gets no connection that was idle for as
// long; others still try, as they may be sent again.
func TestIdleConnectionsAreDropped(t *testing.T) {
	const idle = 50 * time.Millisecond
	s := newStation(t)
	target := s.add(plain, "p1")[0]
	s.ready(1)
	target.DropIdleAfter(idle)
	require.Equal(t, 200, s.post("/once/x", "first", "y").status)
	time.Sleep(2 * idle)
	require.Equal(t, 502, s.post("/once/x", "lost", "y").status, "nobody knows yet")
	for i := range 4 {
		require.Equal(t, 200, s.post("/once/x", name("once", i), "y").status)
		time.Sleep(2 * idle)
	}
	require.Zero(t, runsOf("lost", []*platformtest.Target{target}))
	require.Contains(t, s.lines.String(), `"@message":"idle connections are dropped"`)
}

func TestUnreachableTarget(t *testing.T) {
	s := newStation(t)
	targets := s.add(plain, "p1", "p2", "p3")
	s.ready(3)
	targets[0].Close()
	for i := range 12 {
		require.Equal(t, 200, s.post("/once/x", name("a", i), "y").status)
	}
	require.Equal(t, 1, strings.Count(s.lines.String(), `"outcome":"not sent"`))
}

// TestExtraAnswer: a second answer on a connection reaches nobody.
func TestExtraAnswer(t *testing.T) {
	s := newStation(t)
	targets := s.add(plain, "p1")
	s.ready(1)
	for i := range 10 {
		targets[0].Enqueue(platformtest.ExtraResponse)
		w := s.post("/once/x", name("a", i), "y")
		require.Equal(t, "done "+name("a", i), w.body)
	}
}

func TestChunkedBodyEndsTheConnection(t *testing.T) {
	s := newStation(t)
	targets := s.add(plain, "p1")
	s.ready(1)
	raw := platformtest.Head(http.MethodPost, "/once/x", "outer", testKey) +
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		platformtest.Head(http.MethodPost, "/once/x", "inner", testKey) + "Content-Length: 0\r\n\r\n"
	answer := s.raw(raw)
	require.Contains(t, answer, "Connection: close")
	require.Zero(t, runsOf("inner", targets))
}
