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

// TestEveryAnswerIsTrue: whatever three targets do, in any order, on
// connections that are used again, a request that must not be repeated runs
// once at most, a refusal means that nothing has run, and a success is the
// whole sealed answer to that very request.
func TestEveryAnswerIsTrue(t *testing.T) {
	s := newStation(t)
	targets := append(s.add(plain, "p1", "p2", "p3"), s.add(engines, "e1", "e2", "e3")...)
	s.ready(len(targets))
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
				check(t, path, id, s.post(path, id, "body of "+id), targets)
			},
		})
	})
}

func check(t *rapid.T, path, id string, w got, targets []*platformtest.Target) {
	runs := runsOf(id, targets)
	if path == "/once/x" || path == "/broken/x" {
		require.LessOrEqual(t, runs, 1, "runs of %s", id)
	}
	require.LessOrEqual(t, runs, 2, "runs of %s", id)
	seal := platformtest.Seal(w.header)
	switch w.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		require.Zero(t, runs, "refused, but run: %s", id)
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
