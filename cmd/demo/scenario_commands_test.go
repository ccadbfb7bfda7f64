package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gopkg.in/ini.v1"
)

const (
	// scriptTimeout is how long a script waits for a condition. Times that have a
	// documented limit are printed here, not asserted.
	scriptTimeout = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// cmdFaults sets the fault switches of stand-ins: faults NAME[,NAME] JSON
func cmdFaults(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 2)
	for name := range strings.SplitSeq(arg.positional[0], ",") {
		ts.Check(scenarioOf(ts).harness.SetFaults(name, arg.positional[1]))
	}
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// cmdSignal sends a signal to a process: signal NAME KILL|TERM|STOP|CONT
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 2)
	sig, ok := signals[arg.positional[1]]
	if !ok {
		ts.Fatalf("%s: is not a signal", arg.positional[1])
	}
	ts.Check(scenarioOf(ts).harness.Signal(arg.positional[0], sig))
}

// cmdStartRouter restarts a router: start-router NAME PROGRAM
func cmdStartRouter(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 2)
	ts.Check(scenarioOf(ts).harness.StartRouter(arg.positional[0], arg.positional[1]))
}

// cmdStartEngine restarts an engine, with an empty cache: start-engine NAME
func cmdStartEngine(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	ts.Check(scenarioOf(ts).harness.StartEngine(arg.positional[0]))
}

// cmdWaitExit waits until a process exits and checks its exit code: wait-exit
// NAME CODE
func cmdWaitExit(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 2)
	p, err := scenarioOf(ts).harness.Process(arg.positional[0])
	ts.Check(err)
	select {
	case <-p.Done():
	case <-time.After(scriptTimeout):
		ts.Fatalf("%s: does not end", arg.positional[0])
	}
	if got := fmt.Sprint(p.ExitCode()); got != arg.positional[1] {
		ts.Fatalf("%s: exit code %s, want %s\n%s", arg.positional[0], got, arg.positional[1], p.Log())
	}
}

// cmdOperate runs the operators' command.
func cmdOperate(ts *testscript.TestScript, neg bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*scriptTimeout)
	defer cancel()
	out, err := scenarioOf(ts).harness.RunOperatorCommand(ctx, args[0], args[1:]...)
	fmt.Fprint(ts.Stdout(), out)
	if (err != nil) != neg {
		ts.Fatalf("%v: %v\n%s", args, err, out)
	}
	if err != nil {
		fmt.Fprintf(ts.Stdout(), "%v\n", err)
	}
}

// awaitMatch polls get until its result matches the pattern, and fails the script
// after scriptTimeout.
func awaitMatch(ts *testscript.TestScript, pattern string, get func() string) {
	re, err := regexp.Compile("(?s)" + pattern)
	ts.Check(err)
	last := ""
	start := time.Now()
	for time.Since(start) < scriptTimeout {
		if last = get(); re.MatchString(last) {
			ts.Logf("%s: after %s", pattern, time.Since(start).Round(time.Millisecond))
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("no match for %s in\n%s\n%s", pattern, last, scenarioOf(ts).harness.Logs())
}

// cmdAwaitStatus waits until the status of the fleet matches.
func cmdAwaitStatus(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	awaitMatch(ts, arg.positional[0], func() string {
		out, _ := scenarioOf(ts).harness.RunOperatorCommand(context.Background(), "status")
		return out
	})
}

// cmdListLeaving marks a VM as leaving in the platform's VM list: list-leaving
// NAME yes|no
func cmdListLeaving(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 2)
	ts.Check(scenarioOf(ts).harness.SetLeaving(arg.positional[0], arg.positional[1] == "yes"))
}

// cmdSetKey copies a document with one key changed:
// set-key FROM TO SECTION KEY VALUE
func cmdSetKey(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 5)
	s := scenarioOf(ts)
	f, err := ini.Load(filepath.Join(s.dir, arg.positional[0]))
	ts.Check(err)
	f.Section(arg.positional[2]).Key(arg.positional[3]).SetValue(arg.positional[4])
	ts.Check(f.SaveTo(filepath.Join(s.dir, arg.positional[1])))
	_, err = os.Stat(filepath.Join(s.dir, arg.positional[1]))
	ts.Check(err)
}

// cmdSleep sleeps: sleep 1s
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	d, err := time.ParseDuration(arg.positional[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdRacePublish publishes documents at the same time from the same base and
// checks that one is accepted and each other one conflicts:
// race-publish BASE DOCUMENT DOCUMENT ...
func cmdRacePublish(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts).harness
	outs := make([]string, len(args)-1)
	var wg sync.WaitGroup
	for i, doc := range args[1:] {
		wg.Go(func() {
			outs[i], _ = s.RunOperatorCommand(context.Background(), "publish", "-base", args[0], "-reason", doc, doc)
		})
	}
	wg.Wait()
	all := strings.Join(outs, "")
	published, conflicts := strings.Count(all, "published version"), strings.Count(all, "conflict: ")
	if published != 1 || conflicts != len(outs)-1 {
		ts.Fatalf("%d published, %d conflicts:\n%s", published, conflicts, all)
	}
}
