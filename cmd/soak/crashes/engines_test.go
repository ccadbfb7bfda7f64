package crashes

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// engineDownTime is how long an engine is away after a crash.
const engineDownTime = 1500 * time.Millisecond

// run is one request that an engine ran.
type run struct {
	request string
	at      time.Time
}

// engines are engine processes that are started again when they crash, each time with a new id.
type engines struct {
	t     *testing.T
	store *platformtest.Store
	kind  crashKind
	group sync.WaitGroup

	mu      sync.Mutex
	started int
	running map[int]*exec.Cmd
	stopped bool
	crashes []time.Time
	runs    []run
}

func startEngines(t *testing.T, store *platformtest.Store, n int, kind crashKind) *engines {
	e := &engines{t: t, store: store, kind: kind, running: map[int]*exec.Cmd{}}
	t.Cleanup(e.stop)
	for range n {
		e.start()
	}
	return e
}

// start starts an engine and registers it once it listens.
func (e *engines) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.started++
	n, id := e.started, fmt.Sprintf("engine%d", e.started)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), engineID+"="+id, engineCrash+"="+string(e.kind))
	out, err := cmd.StdoutPipe()
	require.NoError(e.t, err)
	// Its end tells the engine that this process has ended.
	_, err = cmd.StdinPipe()
	require.NoError(e.t, err)
	require.NoError(e.t, cmd.Start())
	e.running[n] = cmd
	e.group.Go(func() {
		readLines(out, func(word, rest string) { e.handle(id, word, rest) })
		_ = cmd.Wait()
		e.ended(n, id)
	})
}

func (e *engines) handle(id, word, rest string) {
	if word == "address" {
		e.store.PutJSON("servers", id, map[string]any{
			"service": service, "address": rest, "zone": "a", "slots": 64, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(), "version": "v1",
		})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run{request: rest, at: time.Now()})
}

// ended starts another engine in place of one that crashed. Its entry stays until then.
func (e *engines) ended(n int, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, n)
	if e.stopped {
		return
	}
	e.crashes = append(e.crashes, time.Now())
	time.AfterFunc(engineDownTime, func() {
		e.store.Delete("servers", id)
		e.start()
	})
}

func (e *engines) stop() {
	e.mu.Lock()
	e.stopped = true
	for _, cmd := range e.running {
		_ = cmd.Process.Kill()
	}
	e.mu.Unlock()
	e.group.Wait()
}

// fifthCrash returns when the fifth engine crashed, or the last one if there were fewer.
func (e *engines) fifthCrash() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[min(len(e.crashes), 5)-1]
}

// deadlyRuns returns when engines ran deadly requests after a time.
func (e *engines) deadlyRuns(after time.Time) (out []time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if strings.HasPrefix(r.request, deadlyPrefix) && r.at.After(after) {
			out = append(out, r.at)
		}
	}
	return out
}
