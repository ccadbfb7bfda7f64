// Package crashes checks with real processes what becomes of requests that crash the engines that
// run them: routers as built, engines that are killed, callers on connections of their own.
package crashes

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/soak/fleet"
	"vanillalug.example/platform/platformtest"
)

const (
	service = "models"
	apiKey  = "key-1"
	// contactTime is within which all routers must know what one of them does.
	contactTime = 3 * time.Second
	calmTime    = 1500 * time.Millisecond
)

// router is the path of the router under test, built once by TestMain.
var router string

func TestMain(m *testing.M) {
	if id := os.Getenv(engineID); id != "" {
		runEngine(id, crashKind(os.Getenv(engineCrash)))
		return
	}
	os.Exit(runMain(m))
}

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "vanillalug-crashes-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	router = filepath.Join(dir, "router")
	if out, err := exec.Command("go", "build", "-o", router, "../../router").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// scene is a fleet with engines that crash on a part of the prompt.
type scene struct {
	store   *platformtest.Store
	engines *engines
	callers *callers
	routers []*fleet.Router
}

func newScene(t *testing.T, routers int, kind crashKind) *scene {
	s := &scene{store: platformtest.NewStore()}
	t.Cleanup(s.store.Close)
	s.store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{apiKey}, platformtest.Route{
		Prefix: "/stream/", Kind: platformtest.Streaming, Service: service, Attempts: 2, TimeoutMS: 4000, Resumable: true, Engine: true,
	}))
	s.engines = startEngines(t, s.store, 9, kind)
	dir := logFolder(t)
	for i := range routers {
		r, err := fleet.NewRouter(router, dir, fmt.Sprintf("r%d", i), "a", s.store.Address())
		require.NoError(t, err)
		t.Cleanup(r.Stop)
		s.routers = append(s.routers, r)
	}
	for i, r := range s.routers {
		require.NoError(t, r.AddSeeds(s.routers[(i+1)%routers], s.routers[(i+2)%routers]))
		require.NoError(t, r.Start())
	}
	s.callers = &callers{routers: s.routers}
	require.NoError(t, fleet.AwaitReady(s.routers))
	return s
}

// logFolder returns the folder for the settings and logs of the routers. VANILLALUG_LOGS keeps them.
func logFolder(t *testing.T) string {
	if os.Getenv("VANILLALUG_LOGS") == "" {
		return t.TempDir()
	}
	dir := filepath.Join(os.Getenv("VANILLALUG_LOGS"), filepath.Base(t.Name()))
	require.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}

// killAll kills all routers; they start again by themselves.
func (s *scene) killAll(t *testing.T) {
	for _, r := range s.routers {
		r.Signal(syscall.SIGKILL)
	}
	require.Eventually(t, func() bool { return !s.routers[0].Ready() }, contactTime, time.Millisecond)
	require.NoError(t, fleet.AwaitReady(s.routers))
}

// TestDeadlyPartIsPassedOn guards against requests with a part of the prompt that crashes engines
// reaching engines long after five have crashed, whatever the routers lost meanwhile and however
// far the engines came with the response, and against sound requests being turned away for it.
func TestDeadlyPartIsPassedOn(t *testing.T) {
	const herd, steady, steadyInterval = 6, 40, 200 * time.Millisecond
	tests := map[string]struct {
		kind crashKind
		play func(*testing.T, *scene)
	}{
		"all routers are killed": {afterHead, func(t *testing.T, s *scene) {
			s.callers.sendDeadly(herd, 0)
			time.Sleep(contactTime + engineDownTime)
			s.killAll(t)
			time.Sleep(contactTime)
			s.callers.sendDeadly(herd, 0)
		}},
		"all are killed while the store is silent": {afterHead, func(t *testing.T, s *scene) {
			s.callers.sendDeadly(herd, 0)
			time.Sleep(contactTime + engineDownTime)
			s.store.SetFault(platformtest.Unresponsive)
			time.AfterFunc(time.Second, func() { s.store.SetFault(platformtest.NoFault) })
			s.killAll(t)
			s.callers.sendDeadly(herd, 0)
		}},
		"the head is lost": {headLost, func(_ *testing.T, s *scene) {
			s.callers.sendDeadly(steady, steadyInterval)
		}},
		"the head is lost, all routers are killed": {headLost, func(t *testing.T, s *scene) {
			s.callers.sendDeadly(herd, 0)
			time.Sleep(contactTime + engineDownTime)
			s.killAll(t)
			s.callers.sendDeadly(herd, 0)
		}},
		"after many events": {afterManyEvents, func(_ *testing.T, s *scene) {
			s.callers.sendDeadly(steady, steadyInterval)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, 3, tt.kind)
			stop := make(chan struct{})
			s.callers.group.Go(func() { s.callers.sendSound(stop) })
			time.Sleep(calmTime)
			tt.play(t, s)
			time.Sleep(engineDownTime)
			close(stop)
			end := time.Now()
			s.callers.group.Wait()

			fifth := s.engines.fifthCrash()
			require.NotZero(t, fifth, "no engine crashed")
			late := s.engines.deadlyRuns(fifth.Add(contactTime))
			sent, whole := s.callers.wholeBetween(fifth.Add(2*contactTime), end)
			t.Logf("%d crashes, %d late; %d of %d sound streams whole", len(s.engines.crashes), len(late), whole, sent)
			require.Empty(t, late, "requests at engines later than the contact time after the fifth crash")
			require.GreaterOrEqual(t, 2*whole, sent, "sound requests served")
		})
	}
}
