package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// TestStreamsBeginAtStoredVersion guards against streams that begin at a software version which the store
// doesn't have: after a kill of all routers that version is unknown, and such streams went on at another one.
func TestStreamsBeginAtStoredVersion(t *testing.T) {
	for i := range 3 {
		t.Run(name("try", i), func(t *testing.T) {
			t.Parallel()
			f := newVersionTestFleet(t, 2, 0)
			f.waitStored(t, `"v1"`)
			id := f.beginAtNew(t)
			require.Contains(t, string(f.store.Value(versionsTable, engineService)), `"v1.1"`)

			f.store.Delete("servers", f.new[0].ID)
			f.new = nil
			f.restartAll(t)
			w := f.routers[1].send(http.MethodPost, "/broken/x", "again", strings.NewReader(workOf(id)), resume(id))
			require.NoError(t, w.err)
			require.Equal(t, http.StatusServiceUnavailable, w.status)
			require.Zero(t, countExecutions("again", f.old))
		})
	}
}

// TestStreamsWaitForStore guards against streams that begin at a software version before the store has it, while its
// writes take long.
func TestStreamsWaitForStore(t *testing.T) {
	t.Parallel()
	f := newVersionTestFleet(t, 2, 0)
	f.waitStored(t, `"v1"`)
	f.store.SetFault(platformtest.ReadOnly)
	f.new = f.addTargets(t, "new", "v1.1", 2)
	for n := range 100 {
		require.Equal(t, http.StatusOK, f.routers[n%len(f.routers)].post("/broken/x", name("a", n), workOf(name("a", n))).status)
		time.Sleep(pollInterval)
	}
	require.Empty(t, f.new[0].Executions())
	require.Empty(t, f.new[1].Executions())
	f.store.SetFault(platformtest.NoFault)
	f.waitStored(t, `"v1","v1.1"`)
}

// beginAtNew adds a target of a new version, and sends requests until one's stream begins there. It returns
// the id of that one.
func (f *versionTestFleet) beginAtNew(t *testing.T) (id string) {
	f.new = f.addTargets(t, "new", "v1.1", 1)
	f.each(func(target *platformtest.Target) { target.SetDefault(platformtest.Truncate) })
	for n := 0; len(f.new[0].Executions()) == 0; n++ {
		require.Less(t, n, 1000, "no stream begins at the new version")
		id = name("begun", n)
		_ = f.routers[n%len(f.routers)].post("/broken/x", id, workOf(id))
		time.Sleep(pollInterval)
	}
	f.each(func(target *platformtest.Target) { target.SetDefault(platformtest.Serve) })
	require.Positive(t, countExecutions(id, f.new))
	return id
}

// TestStoreThatTakesNoWritesDelaysNoTarget guards against a target without work because its software version can't
// be stored: beside others it waits for a short time, alone not at all.
func TestStoreThatTakesNoWritesDelaysNoTarget(t *testing.T) {
	tests := map[string]struct{ alone bool }{
		"beside others": {false},
		"alone":         {true},
	}
	for title, tt := range tests {
		t.Run(title, func(t *testing.T) {
			t.Parallel()
			f := newVersionTestFleet(t, 2, 0)
			f.waitStored(t, `"v1"`)
			f.store.SetFault(platformtest.ReadOnly)
			f.new = f.addTargets(t, "new", "v1.1", 1)
			if tt.alone {
				for _, target := range f.old {
					f.store.Delete("servers", target.ID)
				}
				f.old = nil
				f.routers[0].waitReady(1)
				require.Equal(t, http.StatusOK, f.routers[0].post("/broken/x", "a", "work").status)
				return
			}
			served := func() bool {
				id := name("a", len(f.old[0].Executions())+len(f.old[1].Executions()))
				require.Equal(t, http.StatusOK, f.routers[0].post("/broken/x", id, workOf(id)).status)
				return len(f.new[0].Executions()) > 0
			}
			require.Eventually(t, served, waitTimeout, pollInterval)
		})
	}
}
