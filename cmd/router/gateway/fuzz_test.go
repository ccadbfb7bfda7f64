package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
	"vanillalug.example/platform/platformtest"
)

var behaviours = []platformtest.Behaviour{
	platformtest.Serve, platformtest.Shed, platformtest.Fail, platformtest.FailBusy, platformtest.ResetBefore,
	platformtest.ResetAfter, platformtest.HeadOnly, platformtest.Truncate, platformtest.WrongIDFirst, platformtest.ExtraResponse,
	platformtest.Garbage, platformtest.Unframed, platformtest.EarlyResponse,
}

// TestResponseInvariants checks, for random sequences of target behaviours on
// reused connections, that a request that must not be retried runs at most once,
// that a rejection means that nothing has run, and that a success is the complete
// sealed response to the same request.
func TestResponseInvariants(t *testing.T) {
	tr := newTestRouter(t)
	targets := append(tr.addTargets(plainService, "p1", "p2", "p3"), tr.addTargets(engineService, "e1", "e2", "e3")...)
	tr.waitReady(len(targets))
	n := 0
	lugtest.Check(t, "40", "40", func(t *rapid.T) {
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				n++
				id := name("id-", n)
				path := rapid.SampledFrom([]string{"/safe/x", "/once/x", "/stream/x", "/broken/x"}).Draw(t, "path")
				does := rapid.SliceOfN(rapid.SampledFrom(behaviours), 1, 3).Draw(t, "does")
				script := platformtest.NewScript(does...)
				for _, target := range targets {
					target.UseScript(script)
				}
				checkResponse(t, path, id, tr.post(path, id, "body of "+id), targets)
			},
		})
	})
}

func checkResponse(t *rapid.T, path, id string, w callerResponse, targets []*platformtest.Target) {
	runs := countExecutions(id, targets)
	if path == "/once/x" || path == "/broken/x" {
		require.LessOrEqual(t, runs, 1, "runs of %s", id)
	}
	require.LessOrEqual(t, runs, 2, "runs of %s", id)
	seal := platformtest.Seal(w.header)
	switch w.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		require.Zero(t, runs, "rejected, but run: %s", id)
		require.Empty(t, seal)
	case http.StatusOK:
		require.Contains(t, seal, "."+id)
		if w.err != nil {
			return
		}
		switch path {
		case "/stream/x", "/broken/x":
			require.Equal(t, platformtest.Stream(), w.body)
		default:
			require.Contains(t, []string{"done " + id, "early " + id}, w.body)
		}
	case http.StatusInternalServerError:
		require.Contains(t, seal, "."+id)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		require.Empty(t, seal)
	default:
		t.Fatalf("status %d for %s", w.status, id)
	}
}
