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

// bin is the folder with the programs under test, built once by TestMain.
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
			s := &scenario{dir: env.WorkDir, chats: map[string]*backgroundChat{}, loads: map[string]*backgroundLoad{}}
			env.Values[scenarioKey{}] = s
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

			"await-engine-counts": cmdAwaitEngineCounts,
		},
	})
}

// scenarioKey is the key of the scenario in the values of a script.
type scenarioKey struct{}

// scenario holds what one script has started.
type scenario struct {
	dir     string
	harness *stage.Harness
	chats   map[string]*backgroundChat
	loads   map[string]*backgroundLoad
}

func (s *scenario) stop() {
	if s.harness != nil {
		s.harness.Stop()
	}
}

func scenarioOf(ts *testscript.TestScript) *scenario { return ts.Value(scenarioKey{}).(*scenario) }

// arguments are the arguments of a script command: positional ones, then key=value pairs.
type arguments struct {
	ts         *testscript.TestScript
	positional []string
	pairs      map[string]string
}

func parseArgs(ts *testscript.TestScript, args []string, positional int) arguments {
	arg := arguments{ts: ts, pairs: map[string]string{}}
	for _, a := range args {
		if key, value, ok := strings.Cut(a, "="); ok && len(arg.positional) >= positional {
			arg.pairs[key] = value
		} else {
			arg.positional = append(arg.positional, a)
		}
	}
	if len(arg.positional) != positional {
		ts.Fatalf("want %d positional arguments, got %q", positional, arg.positional)
	}
	return arg
}

func (arg arguments) text(key, def string) string {
	if v, ok := arg.pairs[key]; ok {
		return v
	}
	return def
}

func (arg arguments) number(key string, def int) int {
	n, err := strconv.Atoi(arg.text(key, strconv.Itoa(def)))
	arg.ts.Check(err)
	return n
}

func (arg arguments) duration(key string, def time.Duration) time.Duration {
	d, err := time.ParseDuration(arg.text(key, def.String()))
	arg.ts.Check(err)
	return d
}

// cmdFleet starts a fleet: fleet routers=3 engines=3 workers=2 slots=16
// interval=10ms cache=N times.KEY=VALUE fleet.KEY=VALUE
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 0)
	opts := []stage.Option{
		stage.WithRouters(arg.number("routers", 3)),
		stage.WithEngines(arg.number("engines", 3)),
		stage.WithWorkers(arg.number("workers", 2)),
		stage.WithSlots(arg.number("slots", 16)),
		stage.WithTokenInterval(arg.duration("interval", 10*time.Millisecond)),
		stage.WithCacheTokens(arg.number("cache", 1_000_000)),
		stage.WithBalancerDelay(arg.duration("balancer", 300*time.Millisecond)),
	}
	for key, value := range arg.pairs {
		if name, ok := strings.CutPrefix(key, "times."); ok {
			opts = append(opts, stage.WithTimesKey(name, value))
		}
		if name, ok := strings.CutPrefix(key, "fleet."); ok {
			opts = append(opts, stage.WithFleetKey(name, value))
		}
	}
	s := scenarioOf(ts)
	var err error
	s.harness, err = stage.New(s.dir, bin, opts...)
	ts.Check(err)
	if err := s.harness.Start(context.Background()); err != nil {
		ts.Logf("%s", s.harness.Logs())
		ts.Fatalf("fleet: %v", err)
	}
}
