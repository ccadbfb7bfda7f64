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

// TestConnectionsAreReused checks that consecutive requests share a connection,
// and that one that the target has closed in the meantime is not used.
func TestConnectionsAreReused(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	for i := range 10 {
		require.Equal(t, 200, tr.post("/once/x", name("a", i), "y").status)
	}
	require.Equal(t, 1, targets[0].TotalConns())
	targets[0].CloseConns()
	require.Eventually(t, func() bool { return targets[0].OpenConns() == 0 }, waitTimeout, pollInterval)
	require.Equal(t, 200, tr.post("/once/x", "b", "y").status)
	require.Equal(t, 2, targets[0].TotalConns())
}

// TestCachedPromptIsCopied checks that an engine without the shared prompt of a
// request is sent the address of the engine that has it cached, and that callers
// can't set that header themselves.
func TestCachedPromptIsCopied(t *testing.T) {
	const busy = 30
	tr := newTestRouter(t)
	targets := tr.addTargets(promptService, "e1", "e2")
	tr.waitReady(2)
	serve := func(id string, ownPart uint64) string {
		w := tr.send("POST", "/prompt/x", id, strings.NewReader("y"), func(r *http.Request) {
			platformtest.SetPrompt(r, "m", 0xa1, 1000, ownPart)
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
	first := serve("b1", 1)
	holder := 0
	if strings.HasPrefix(first, "e2") {
		holder = 1
	}
	require.NotContains(t, first, ":", "no engine has it cached yet")
	require.Equal(t, first, serve("b2", 2), "the same engine has it cached")
	tr.g.loads.Add(fitting.KeyOf(targets[holder].ID+"/1"), busy, 0)
	require.Equal(t, name("e", 2-holder)+" "+targets[holder].Address(), serve("b3", 3))
}

// TestCachedPromptIsCopiedFromLeavingTarget checks that what only an engine that is leaving has cached
// is copied from it, until its entry is gone. Otherwise each release would have prompts read again.
func TestCachedPromptIsCopiedFromLeavingTarget(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(promptService, "e1")
	tr.waitReady(1)
	serve := func(id string, target *platformtest.Target, prompt, ownPart uint64) string {
		w := tr.send("POST", "/prompt/x", id, strings.NewReader("y"), func(r *http.Request) {
			platformtest.SetPrompt(r, "m", prompt, 1000, ownPart)
		})
		require.Equal(t, 200, w.status)
		runs := target.Executions()
		require.NotEmpty(t, runs)
		require.Equal(t, id, runs[len(runs)-1].ID)
		return runs[len(runs)-1].CopiedFrom()
	}
	leaving := targets[0]
	serve("b1", leaving, 0xa1, 1)
	serve("b2", leaving, 0xa2, 2)
	next := tr.addTargets(promptService, "e2")[0]
	tr.waitReady(2)
	tr.store.PutJSON("servers", leaving.ID, leaving.Entry("draining"))
	tr.waitReady(1)
	require.Equal(t, leaving.Address(), serve("b3", next, 0xa1, 3))
	require.Empty(t, serve("b4", next, 0xa1, 4), "it has the prompt cached now")
	tr.store.Delete("servers", leaving.ID)
	require.Eventually(t, func() bool { return len((*tr.g.copySources.Load())[promptService]) == 0 }, waitTimeout, pollInterval)
	require.Empty(t, serve("b5", next, 0xa2, 5))
}

// TestIdleConnectionsAreDropped checks that after a dropped idle connection was
// detected, a request that must not be retried gets no connection that was idle
// for as long.
func TestIdleConnectionsAreDropped(t *testing.T) {
	const idle = 50 * time.Millisecond
	tr := newTestRouter(t)
	target := tr.addTargets(plainService, "p1")[0]
	tr.waitReady(1)
	target.DropIdleAfter(idle)
	require.Equal(t, 200, tr.post("/once/x", "first", "y").status)
	time.Sleep(2 * idle)
	require.Equal(t, 502, tr.post("/once/x", "lost", "y").status, "the drop is not known yet")
	for i := range 4 {
		require.Equal(t, 200, tr.post("/once/x", name("once", i), "y").status)
		time.Sleep(2 * idle)
	}
	require.Zero(t, countExecutions("lost", []*platformtest.Target{target}))
	require.Contains(t, tr.logs.String(), `"@message":"idle connections are dropped"`)
}

// TestUnreachableTarget checks that a target that accepts no connections fails no
// request, and is avoided after a failure for as long as it counts as suspect.
func TestUnreachableTarget(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1", "p2", "p3")
	tr.waitReady(3)
	targets[0].Close()
	start := time.Now()
	for i := range 12 {
		require.Equal(t, 200, tr.post("/once/x", name("a", i), "y").status)
	}
	// On a busy machine the requests take longer than the target is suspect: it is tried again then.
	expired := int(time.Since(start) / suspectTime)
	failures := strings.Count(tr.logs.String(), `"outcome":"not sent"`)
	require.GreaterOrEqual(t, failures, 1)
	require.LessOrEqual(t, failures, 1+expired)
}

// TestExtraResponse checks that an unsolicited second response on a connection is
// not delivered to the next request.
func TestExtraResponse(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	for i := range 10 {
		targets[0].Enqueue(platformtest.ExtraResponse)
		w := tr.post("/once/x", name("a", i), "y")
		require.Equal(t, "done "+name("a", i), w.body)
	}
}

func TestChunkedBodyEndsTheConnection(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	raw := platformtest.Head(http.MethodPost, "/once/x", "outer", testKey) +
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		platformtest.Head(http.MethodPost, "/once/x", "inner", testKey) + "Content-Length: 0\r\n\r\n"
	response := tr.raw(raw)
	require.Contains(t, response, "Connection: close")
	require.Zero(t, countExecutions("inner", targets))
}
