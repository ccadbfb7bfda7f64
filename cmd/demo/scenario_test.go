package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillalug.example/cmd/demo/stage"
)

// bin has the programs under test, built once.
var bin string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "vanillalug-bin-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = dir
	builds := []struct{ name, path, flags string }{
		{"router", "../router", "-X main.build=new"},
		{"router-old", "../router", "-X main.build=old -X main.levels=1-1"},
		{"vanillalug", "../vanillalug", ""},
		{"standin", "../standin", ""},
	}
	for _, b := range builds {
		cmd := exec.Command("go", "build", "-ldflags", b.flags, "-o", filepath.Join(dir, b.name), b.path)
		if out, err := cmd.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n%s", b.name, err, out)
			return 1
		}
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			s := &scene{dir: env.WorkDir, chats: map[string]*backgroundChat{}, loads: map[string]*backgroundLoad{}}
			env.Values[sceneKey{}] = s
			env.Defer(s.stop)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":         cmdFleet,
			"chat":          cmdChat,
			"started":       cmdStarted,
			"await":         cmdAwait,
			"call":          cmdCall,
			"effects":       cmdEffects,
			"faults":        cmdFaults,
			"signal":        cmdSignal,
			"start-router":  cmdStartRouter,
			"start-engine":  cmdStartEngine,
			"wait-exit":     cmdWaitExit,
			"operate":       cmdOperate,
			"race-publish":  cmdRacePublish,
			"post":          cmdPost,
			"await-status":  cmdAwaitStatus,
			"await-metric":  cmdAwaitMetric,
			"metric":        cmdMetric,
			"load":          cmdLoad,
			"await-load":    cmdAwaitLoad,
			"list-leaving":  cmdListLeaving,
			"set-key":       cmdSetKey,
			"engine-counts": cmdEngineCounts,
			"sleep":         cmdSleep,
		},
	})
}

// sceneKey is the key of the scene among the values of a script.
type sceneKey struct{}

// scene is what one script has running.
type scene struct {
	dir   string
	stage *stage.Harness
	chats map[string]*backgroundChat
	loads map[string]*backgroundLoad
}

func (s *scene) stop() {
	if s.stage != nil {
		s.stage.Stop()
	}
}

func sceneOf(ts *testscript.TestScript) *scene { return ts.Value(sceneKey{}).(*scene) }

// words are the arguments of a command: positional ones and key=value pairs.
type words struct {
	ts    *testscript.TestScript
	plain []string
	pairs map[string]string
}

func parse(ts *testscript.TestScript, args []string, plain int) words {
	w := words{ts: ts, pairs: map[string]string{}}
	for _, a := range args {
		if key, value, ok := strings.Cut(a, "="); ok && len(w.plain) >= plain {
			w.pairs[key] = value
		} else {
			w.plain = append(w.plain, a)
		}
	}
	if len(w.plain) != plain {
		ts.Fatalf("want %d plain arguments, got %q", plain, w.plain)
	}
	return w
}

func (w words) text(key, def string) string {
	if v, ok := w.pairs[key]; ok {
		return v
	}
	return def
}

func (w words) number(key string, def int) int {
	n, err := strconv.Atoi(w.text(key, strconv.Itoa(def)))
	w.ts.Check(err)
	return n
}

func (w words) duration(key string, def time.Duration) time.Duration {
	d, err := time.ParseDuration(w.text(key, def.String()))
	w.ts.Check(err)
	return d
}

// cmdFleet starts a fleet: fleet routers=3 engines=3 workers=2 slots=16
// interval=10ms cache=N times.KEY=VALUE fleet.KEY=VALUE
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 0)
	opts := []stage.Option{
		stage.WithRouters(w.number("routers", 3)),
		stage.WithEngines(w.number("engines", 3)),
		stage.WithWorkers(w.number("workers", 2)),
		stage.WithSlots(w.number("slots", 16)),
		stage.WithTokenInterval(w.duration("interval", 10*time.Millisecond)),
		stage.WithCacheTokens(w.number("cache", 1_000_000)),
		stage.WithBalancerDelay(w.duration("balancer", 300*time.Millisecond)),
	}
	for key, value := range w.pairs {
		if name, ok := strings.CutPrefix(key, "times."); ok {
			opts = append(opts, stage.WithTimesKey(name, value))
		}
		if name, ok := strings.CutPrefix(key, "fleet."); ok {
			opts = append(opts, stage.WithFleetKey(name, value))
		}
	}
	s := sceneOf(ts)
	var err error
	s.stage, err = stage.New(s.dir, bin, opts...)
	ts.Check(err)
	if err := s.stage.Start(context.Background()); err != nil {
		ts.Logf("%s", s.stage.Logs())
		ts.Fatalf("fleet: %v", err)
	}
}
