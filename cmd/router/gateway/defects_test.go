package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/defect"
	"vanillalug.example/fitting"
	"vanillalug.example/platform/platformtest"
)

const (
	commonPart = "c0ffee"
	topicPart  = "70b1c"
	deadlyPart = "deadbeef"
	// maxCrashes is the number of targets that may crash before routers must know, if
	// they can tell each other of one before the next.
	maxCrashes = 5
)

// withParts sets the shared parts of the prompt and one of the request's own.
func withParts(id string, parts ...string) func(*http.Request) {
	own := strconv.FormatUint(hashOf(id), 16)
	return func(r *http.Request) { platformtest.SetPromptParts(r, "m", append(parts, own)...) }
}

// TestPromptPartCrashesTargets guards against requests with a part of the prompt that
// crashes engines taking down one after the other, through any router, however much of the
// response is out by then, while sound requests that share the other parts must be served.
func TestPromptPartCrashesTargets(t *testing.T) {
	tests := map[string]platformtest.Behaviour{
		"after the head":            platformtest.HeadOnly,
		"in the second event":       platformtest.TruncateSecond,
		"after two events":          platformtest.Truncate,
		"after the head, no chunks": platformtest.UnframedHeadOnly,
		"in the second, no chunks":  platformtest.UnframedTruncate,
	}
	for name, beginning := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testPromptPartCrashesTargets(t, beginning)
		})
	}
}

func testPromptPartCrashesTargets(t *testing.T, beginning platformtest.Behaviour) {
	const requests = 20
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	a, b := newTestRouterAt(t, store, "a"), newTestRouterAt(t, store, "b")
	var ids []string
	for i := range 2 * requests {
		ids = append(ids, name("e", i))
	}
	engines := a.addTargets(promptService, ids...)
	a.waitReady(len(engines))
	b.waitReady(len(engines))
	require.Eventually(t, func() bool { return len(a.g.peers.all()) == 1 && len(b.g.peers.all()) == 1 }, waitTimeout, pollInterval)
	for _, e := range engines {
		e.SetDeadlyPart(deadlyPart, beginning)
	}
	deadly, sound := 0, 0
	for i := range requests {
		tr := []*testRouter{a, b}[i%2]
		id := name("deadly", i)
		w := tr.send(http.MethodPost, "/prompt/x", id, nil, withParts(id, commonPart, topicPart, deadlyPart))
		require.False(t, w.err == nil && w.status == http.StatusOK, "it can't be complete")
		deadly += countExecutions(id, engines)
		id = name("sound", i)
		w = tr.send(http.MethodPost, "/prompt/x", id, nil, withParts(id, commonPart, topicPart))
		if w.status == http.StatusOK && w.err == nil {
			sound++
		}
		time.Sleep(shareInterval)
	}
	require.LessOrEqual(t, deadly, maxCrashes)
	require.Equal(t, requests, sound)
}

// TestRequestCrashesTargets guards against a request that crashes what runs it taking down
// one target after the other each time it comes again, at any router, while other requests
// with the same path must be served.
func TestRequestCrashesTargets(t *testing.T) {
	const requests = 12
	chunked := func(r *http.Request) { r.ContentLength = -1 }
	tests := map[string]struct {
		service, path, body, soundPath, soundBody string
		change                                    func(*http.Request)
	}{
		"idempotent":       {plainService, "/safe/x", "deadly", "/safe/x", "sound", nil},
		"non-idempotent":   {plainService, "/once/x", "deadly", "/once/x", "sound", nil},
		"without a body":   {plainService, "/safe/deadly", "", "/safe/x", "", nil},
		"query only":       {plainService, "/safe/x?id=1", "", "/safe/x?id=2", "", nil},
		"stream":           {engineService, "/stream/x", "deadly", "/stream/x", "sound", nil},
		"unbroken stream":  {engineService, "/broken/x", "deadly", "/broken/x", "sound", nil},
		"in chunks":        {plainService, "/safe/x", "deadly", "/safe/x", "sound", chunked},
		"with a long body": {plainService, "/safe/x", strings.Repeat("deadly", 1<<14), "/safe/x", strings.Repeat("sound", 1<<14), nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := platformtest.NewStore()
			t.Cleanup(store.Close)
			store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
			a, b := newTestRouterAt(t, store, "a"), newTestRouterAt(t, store, "b")
			var ids []string
			for i := range 2 * requests {
				ids = append(ids, "p"+strconv.Itoa(i))
			}
			targets := a.addTargets(tt.service, ids...)
			a.waitReady(len(targets))
			b.waitReady(len(targets))
			require.Eventually(t, func() bool { return len(a.g.peers.all()) == 1 && len(b.g.peers.all()) == 1 }, waitTimeout, pollInterval)
			for _, target := range targets {
				target.SetDeadlyRequest(tt.path, tt.body)
			}
			change := func(r *http.Request) {
				if tt.change != nil {
					tt.change(r)
				}
			}
			crashed := 0
			for i := range requests {
				tr := []*testRouter{a, b}[i%2]
				id := "deadly" + strconv.Itoa(i)
				w := tr.send(http.MethodPost, tt.path, id, strings.NewReader(tt.body), change)
				require.NotEqual(t, http.StatusOK, w.status)
				crashed += countExecutions(id, targets)
				w = tr.send(http.MethodPost, tt.soundPath, "sound"+strconv.Itoa(i), strings.NewReader(tt.soundBody), change)
				require.Equal(t, http.StatusOK, w.status)
				time.Sleep(shareInterval)
			}
			require.LessOrEqual(t, crashed, maxCrashes)
			require.Contains(t, a.logs.String()+b.logs.String(), "content=")
		})
	}
}

// TestRequestThatWaitsIsBlocked guards against a request that waits for a connection being sent after its
// prompt part was found to crash targets.
func TestRequestThatWaitsIsBlocked(t *testing.T) {
	dialing, dial := make(chan struct{}, 1), make(chan struct{})
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	tr := newTestRouterWith(t, store, "r1", []Option{WithTargetDialer(func(ctx context.Context, address string) (net.Conn, error) {
		dialing <- struct{}{}
		<-dial
		return channel.Dial(context.WithoutCancel(ctx), address)
	})})
	engines := tr.addTargets(promptService, "e1")
	tr.waitReady(1)
	done := make(chan callerResponse)
	go func() {
		done <- tr.send(http.MethodPost, "/prompt/x", "waits", nil, withParts("waits", commonPart, deadlyPart))
	}()
	<-dialing
	key, err := strconv.ParseUint(deadlyPart, 16, 64)
	require.NoError(t, err)
	part := []defect.Subject{defect.Part(fitting.PromptKey("m", key))}
	for target := range defect.TargetKey(defect.CrashesToBlock) {
		tr.g.defects.RecordCrash(part, target, time.Now(), time.Now())
	}
	close(dial)
	w := <-done
	require.NoError(t, w.err)
	require.Equal(t, statusDefect, w.status, w.body)
	require.Zero(t, countExecutions("waits", engines))
}
