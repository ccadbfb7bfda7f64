package main

import (
	"context"
	"encoding/json"
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

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/caller"
	"vanillalug.example/cmd/load/traffic"
)

const (
	// scriptTimeout is how long a script waits for a condition. Times that have a
	// documented limit are printed here, not asserted.
	scriptTimeout = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// backgroundChat is a chat that runs while the script continues.
type backgroundChat struct {
	tokens chan int
	result chan caller.Result
	cancel context.CancelFunc
}

// cmdChat runs a chat: chat NAME router=r1 id=c1 turn=0 tokens=20
// ws=taller-norte class=X stream=no named=no bg=yes
func cmdChat(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	s := scenarioOf(ts)
	router := arg.text("router", "r1")
	t := caller.Turn{
		Router: s.harness.Address(router), Key: arg.text("key", stage.APIKey(arg.text("ws", "taller-norte"))),
		Class: arg.text("class", ""), Model: arg.text("model", stage.Model), Chat: arg.text("id", arg.positional[0]),
		Number: arg.number("turn", 0), PromptTokens: arg.number("prompt", 100), ResponseTokens: arg.number("tokens", 20),
		NoStream: arg.text("stream", "yes") == "no", OmitChatID: arg.text("named", "yes") == "no",
	}
	if t.Key == "HEADER" {
		t.Key = strings.Repeat("x", 40<<10)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*scriptTimeout)
	b := &backgroundChat{tokens: make(chan int, t.ResponseTokens+1), result: make(chan caller.Result, 1), cancel: cancel}
	t.OnToken = func(n int) { b.tokens <- n }
	go func() {
		b.result <- caller.New().Chat(ctx, t)
		close(b.tokens)
	}()
	s.chats[arg.positional[0]] = b
	if arg.text("bg", "no") == "no" {
		cmdAwait(ts, false, arg.positional[:1])
	}
}

// cmdStarted waits until a background chat has received tokens: started NAME
// tokens=N
func cmdStarted(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	want := arg.number("tokens", 1)
	b := scenarioOf(ts).chats[arg.positional[0]]
	for n := range b.tokens {
		if n >= want {
			return
		}
	}
	ts.Fatalf("%s: ended after fewer tokens", arg.positional[0])
}

// cmdAwait waits for the end of a chat and prints its result. With leave=yes
// the caller disconnects first.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	b := scenarioOf(ts).chats[arg.positional[0]]
	if arg.text("leave", "no") == "yes" {
		b.cancel()
	}
	r := <-b.result
	b.cancel()
	code, retry := "", ""
	if r.Problem != nil {
		code = r.Problem.Code()
		if r.RetryAfter() > 0 {
			retry = " retry-after"
		}
	}
	cached := "no"
	if r.CachedTokens > 0 {
		cached = "yes"
	}
	fmt.Fprintf(ts.Stdout(), "%s whole=%v tokens=%d wrong=%d cached=%s status=%d run-state=%s problem=%s%s\n",
		arg.positional[0], r.Complete, r.Tokens, r.WrongTokens, cached, r.Status, r.RunState(), code, retry)
}

// cmdCall calls a service: call router=r1 path=/bookings/deposits method=POST
// once=KEY body=TEXT ws=W
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 0)
	s := scenarioOf(ts)
	ctx, cancel := context.WithTimeout(context.Background(), 2*scriptTimeout)
	defer cancel()
	start := time.Now()
	a := caller.New().Call(ctx, caller.Call{
		Router: s.harness.Address(arg.text("router", "r1")), Key: stage.APIKey(arg.text("ws", "taller-norte")),
		Method: arg.text("method", "POST"), Path: arg.text("path", "/bookings/deposits"),
		Body: arg.text("body", "{}"), IdempotencyKey: arg.text("once", ""),
	})
	code := ""
	if a.Problem != nil {
		code = a.Problem.Code()
		if a.Problem.EarlierRunState() != "" {
			code += " earlier-attempts=" + string(a.Problem.EarlierRunState())
		}
		if a.Problem.RetryAfter() > 0 {
			code += " retry-after"
		}
	}
	fmt.Fprintf(ts.Stdout(), "status=%d run-state=%s replayed=%v problem=%s\n", a.Status, a.RunState, a.Replayed, code)
	ts.Logf("after %s: %s", time.Since(start).Round(time.Millisecond), a.Body)
	if a.Err != nil {
		fmt.Fprintf(ts.Stdout(), "error=%v\n", a.Err)
	}
}

// cmdEffects checks how often the call with a key took effect at all workers:
// effects WORKSPACE/KEY N
func cmdEffects(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 2)
	total := 0
	for _, name := range []string{"b1", "b2", "l1", "l2"} {
		raw, err := scenarioOf(ts).harness.Get(name, "/effects")
		ts.Check(err)
		var counts map[string]int
		ts.Check(json.Unmarshal(raw, &counts))
		total += counts[arg.positional[0]]
	}
	if fmt.Sprint(total) != arg.positional[1] {
		ts.Fatalf("%s ran %d times, want %s", arg.positional[0], total, arg.positional[1])
	}
}

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

// cmdAwaitMetric waits until the metrics of a router match.
func cmdAwaitMetric(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 2)
	awaitMatch(ts, arg.positional[1], func() string {
		raw, _ := scenarioOf(ts).harness.Get(arg.positional[0]+"/operators", "/metrics")
		return string(raw)
	})
}

// cmdMetric prints the metrics of a router.
func cmdMetric(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	raw, err := scenarioOf(ts).harness.Get(arg.positional[0]+"/operators", "/metrics")
	ts.Check(err)
	_, _ = ts.Stdout().Write(raw)
}

// backgroundLoad is a load that runs while the script continues.
type backgroundLoad struct {
	done chan *traffic.Report
}

// cmdLoad starts a load: load NAME rate=30 duration=5s tokens=20 routers=r1,r2
// seed=1
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	s := scenarioOf(ts)
	p := traffic.Plan{
		Model: stage.Model, Rate: float64(arg.number("rate", 30)), Duration: arg.duration("duration", 5*time.Second),
		ReturningShare: 0.7, ThinkTime: 300 * time.Millisecond, PromptTokens: arg.number("prompt", 100),
		ResponseTokens: arg.number("tokens", 20), Seed: uint64(arg.number("seed", 1)),
	}
	for _, name := range strings.Split(arg.text("routers", "r1,r2,r3"), ",") {
		p.Routers = append(p.Routers, s.harness.Address(name))
	}
	for _, ws := range stage.Workspaces {
		p.Workspaces = append(p.Workspaces, traffic.Workspace{Name: ws, Key: stage.APIKey(ws), Class: "interactive", Weight: 1})
	}
	b := &backgroundLoad{done: make(chan *traffic.Report, 1)}
	go func() { b.done <- traffic.Run(context.Background(), p) }()
	s.loads[arg.positional[0]] = b
}

// cmdAwaitLoad waits for the end of a load and prints its report and the number
// of lost requests.
func cmdAwaitLoad(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	r := <-scenarioOf(ts).loads[arg.positional[0]].done
	r.Write(ts.Stdout())
	lost := r.Sent - r.Complete
	fmt.Fprintf(ts.Stdout(), "lost=%d states=%v\n", lost, r.RunStates)
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

// cmdEngineCounts prints the counters of an engine: engine-counts NAME
func cmdEngineCounts(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	raw, err := scenarioOf(ts).harness.Get(arg.positional[0], "/counts")
	ts.Check(err)
	_, _ = ts.Stdout().Write(raw)
}

// cmdAwaitEngineCounts waits until the counters of an engine contain a text:
// await-engine-counts NAME TEXT
func cmdAwaitEngineCounts(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 2)
	awaitMatch(ts, arg.positional[1], func() string {
		raw, _ := scenarioOf(ts).harness.Get(arg.positional[0], "/counts")
		return string(raw)
	})
}

// cmdSleep sleeps: sleep 1s
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 1)
	d, err := time.ParseDuration(arg.positional[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdPost sends a POST request with an empty body to a process: post NAME PATH
func cmdPost(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 2)
	ts.Check(scenarioOf(ts).harness.Post(arg.positional[0], arg.positional[1], ""))
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
