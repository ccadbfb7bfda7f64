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
	// patience is how long a script waits for what has to happen. What is
	// measured against a stated limit is printed, not asserted here.
	patience  = 30 * time.Second
	pollPause = 20 * time.Millisecond
)

// backgroundChat is a chat that runs while the script goes on.
type backgroundChat struct {
	tokens chan int
	result chan caller.Result
	cancel context.CancelFunc
}

// cmdChat runs a chat: chat NAME router=r1 id=c1 turn=0 tokens=20
// ws=taller-norte class=X stream=no named=no bg=yes
func cmdChat(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 1)
	s := sceneOf(ts)
	router := w.text("router", "r1")
	t := caller.Turn{
		Router: s.stage.Address(router), Key: w.text("key", stage.KeyOf(w.text("ws", "taller-norte"))),
		Class: w.text("class", ""), Model: w.text("model", stage.Model), Chat: w.text("id", w.plain[0]),
		Number: w.number("turn", 0), PromptTokens: w.number("prompt", 100), ResponseTokens: w.number("tokens", 20),
		NoStream: w.text("stream", "yes") == "no", OmitChatID: w.text("named", "yes") == "no",
	}
	if t.Key == "HEADER" {
		t.Key = strings.Repeat("x", 40<<10)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	b := &backgroundChat{tokens: make(chan int, t.ResponseTokens+1), result: make(chan caller.Result, 1), cancel: cancel}
	t.OnToken = func(n int) { b.tokens <- n }
	go func() {
		b.result <- caller.New().Chat(ctx, t)
		close(b.tokens)
	}()
	s.chats[w.plain[0]] = b
	if w.text("bg", "no") == "no" {
		cmdAwait(ts, false, w.plain[:1])
	}
}

// cmdStarted waits until a chat in the background has had so many tokens.
func cmdStarted(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 1)
	want := w.number("tokens", 1)
	b := sceneOf(ts).chats[w.plain[0]]
	for n := range b.tokens {
		if n >= want {
			return
		}
	}
	ts.Fatalf("%s: ended after fewer tokens", w.plain[0])
}

// cmdAwait waits for the end of a chat and prints what became of it. With
// leave=yes the caller goes away instead.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 1)
	b := sceneOf(ts).chats[w.plain[0]]
	if w.text("leave", "no") == "yes" {
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
		w.plain[0], r.Complete, r.Tokens, r.WrongTokens, cached, r.Status, r.RunState(), code, retry)
}

// cmdCall calls a service: call router=r1 path=/bookings/deposits method=POST
// once=KEY body=TEXT ws=W
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 0)
	s := sceneOf(ts)
	ctx, done := context.WithTimeout(context.Background(), 2*patience)
	defer done()
	begun := time.Now()
	a := caller.New().Call(ctx, caller.Call{
		Router: s.stage.Address(w.text("router", "r1")), Key: stage.KeyOf(w.text("ws", "taller-norte")),
		Method: w.text("method", "POST"), Path: w.text("path", "/bookings/deposits"),
		Body: w.text("body", "{}"), IdempotencyKey: w.text("once", ""),
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
	ts.Logf("after %s: %s", time.Since(begun).Round(time.Millisecond), a.Body)
	if a.Err != nil {
		fmt.Fprintf(ts.Stdout(), "error=%v\n", a.Err)
	}
}

// cmdEffects checks how often a key ran: effects WORKSPACE/KEY N
func cmdEffects(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 2)
	total := 0
	for _, name := range []string{"b1", "b2", "l1", "l2"} {
		raw, err := sceneOf(ts).stage.Get(name, "/effects")
		ts.Check(err)
		var counts map[string]int
		ts.Check(json.Unmarshal(raw, &counts))
		total += counts[w.plain[0]]
	}
	if fmt.Sprint(total) != w.plain[1] {
		ts.Fatalf("%s ran %d times, want %s", w.plain[0], total, w.plain[1])
	}
}

// cmdFaults sets the fault switches of stand-ins: faults NAME[,NAME] JSON
func cmdFaults(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 2)
	for name := range strings.SplitSeq(w.plain[0], ",") {
		ts.Check(sceneOf(ts).stage.Faults(name, w.plain[1]))
	}
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// cmdSignal sends a signal to a process: signal NAME KILL|TERM|STOP|CONT
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 2)
	sig, ok := signals[w.plain[1]]
	if !ok {
		ts.Fatalf("%s: is not a signal", w.plain[1])
	}
	ts.Check(sceneOf(ts).stage.Signal(w.plain[0], sig))
}

// cmdStartRouter starts a router again: start-router NAME PROGRAM
func cmdStartRouter(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 2)
	ts.Check(sceneOf(ts).stage.StartRouter(w.plain[0], w.plain[1]))
}

// cmdStartEngine starts an engine again, with an empty cache.
func cmdStartEngine(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 1)
	ts.Check(sceneOf(ts).stage.StartEngine(w.plain[0]))
}

// cmdWaitExit waits until a process ends: wait-exit NAME CODE
func cmdWaitExit(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 2)
	p, err := sceneOf(ts).stage.Process(w.plain[0])
	ts.Check(err)
	select {
	case <-p.Done():
	case <-time.After(patience):
		ts.Fatalf("%s: does not end", w.plain[0])
	}
	if got := fmt.Sprint(p.ExitCode()); got != w.plain[1] {
		ts.Fatalf("%s: exit code %s, want %s\n%s", w.plain[0], got, w.plain[1], p.Log())
	}
}

// cmdOperate runs the operators' command.
func cmdOperate(ts *testscript.TestScript, neg bool, args []string) {
	ctx, done := context.WithTimeout(context.Background(), 2*patience)
	defer done()
	out, err := sceneOf(ts).stage.Operate(ctx, args[0], args[1:]...)
	fmt.Fprint(ts.Stdout(), out)
	if (err != nil) != neg {
		ts.Fatalf("%v: %v\n%s", args, err, out)
	}
	if err != nil {
		fmt.Fprintf(ts.Stdout(), "%v\n", err)
	}
}

// awaitMatch waits until what the function returns matches.
func awaitMatch(ts *testscript.TestScript, pattern string, get func() string) {
	re, err := regexp.Compile("(?s)" + pattern)
	ts.Check(err)
	last := ""
	begun := time.Now()
	for time.Since(begun) < patience {
		if last = get(); re.MatchString(last) {
			ts.Logf("%s: after %s", pattern, time.Since(begun).Round(time.Millisecond))
			return
		}
		time.Sleep(pollPause)
	}
	ts.Fatalf("no match for %s in\n%s\n%s", pattern, last, sceneOf(ts).stage.Logs())
}

// cmdAwaitStatus waits until the status of the fleet matches.
func cmdAwaitStatus(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 1)
	awaitMatch(ts, w.plain[0], func() string {
		out, _ := sceneOf(ts).stage.Operate(context.Background(), "status")
		return out
	})
}

// cmdAwaitMetric waits until the metrics of a router match.
func cmdAwaitMetric(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 2)
	awaitMatch(ts, w.plain[1], func() string {
		raw, _ := sceneOf(ts).stage.Get(w.plain[0]+"/operators", "/metrics")
		return string(raw)
	})
}

// cmdMetric prints the metrics of a router.
func cmdMetric(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 1)
	raw, err := sceneOf(ts).stage.Get(w.plain[0]+"/operators", "/metrics")
	ts.Check(err)
	_, _ = ts.Stdout().Write(raw)
}

// backgroundLoad is a load that runs while the script goes on.
type backgroundLoad struct {
	done chan *traffic.Report
}

// cmdLoad starts a load: load NAME rate=30 duration=5s tokens=20 routers=r1,r2
// seed=1
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 1)
	s := sceneOf(ts)
	p := traffic.Plan{
		Model: stage.Model, Rate: float64(w.number("rate", 30)), Duration: w.duration("duration", 5*time.Second),
		ReturningShare: 0.7, ThinkTime: 300 * time.Millisecond, PromptTokens: w.number("prompt", 100),
		ResponseTokens: w.number("tokens", 20), Seed: uint64(w.number("seed", 1)),
	}
	for _, name := range strings.Split(w.text("routers", "r1,r2,r3"), ",") {
		p.Routers = append(p.Routers, s.stage.Address(name))
	}
	for _, ws := range stage.Workspaces {
		p.Workspaces = append(p.Workspaces, traffic.Workspace{Name: ws, Key: stage.KeyOf(ws), Class: "interactive", Weight: 1})
	}
	b := &backgroundLoad{done: make(chan *traffic.Report, 1)}
	go func() { b.done <- traffic.Run(context.Background(), p) }()
	s.loads[w.plain[0]] = b
}

// cmdAwaitLoad waits for the end of a load and prints the report.
func cmdAwaitLoad(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 1)
	r := <-sceneOf(ts).loads[w.plain[0]].done
	r.Write(ts.Stdout())
	lost := r.Sent - r.Complete
	fmt.Fprintf(ts.Stdout(), "lost=%d states=%v\n", lost, r.RunStates)
}

// cmdListLeaving changes the platform's list: list-leaving NAME yes|no
func cmdListLeaving(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 2)
	ts.Check(sceneOf(ts).stage.SetLeaving(w.plain[0], w.plain[1] == "yes"))
}

// cmdSetKey copies a document with one key changed:
// set-key FROM TO SECTION KEY VALUE
func cmdSetKey(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 5)
	s := sceneOf(ts)
	f, err := ini.Load(filepath.Join(s.dir, w.plain[0]))
	ts.Check(err)
	f.Section(w.plain[2]).Key(w.plain[3]).SetValue(w.plain[4])
	ts.Check(f.SaveTo(filepath.Join(s.dir, w.plain[1])))
	_, err = os.Stat(filepath.Join(s.dir, w.plain[1]))
	ts.Check(err)
}

// cmdEngineCounts prints what an engine has counted.
func cmdEngineCounts(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 1)
	raw, err := sceneOf(ts).stage.Get(w.plain[0], "/counts")
	ts.Check(err)
	_, _ = ts.Stdout().Write(raw)
}

// cmdSleep lets time pass: sleep 1s
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 1)
	d, err := time.ParseDuration(w.plain[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdPost posts an empty body to a process: post NAME PATH
func cmdPost(ts *testscript.TestScript, _ bool, args []string) {
	w := parse(ts, args, 2)
	ts.Check(sceneOf(ts).stage.Post(w.plain[0], w.plain[1], ""))
}

// cmdRacePublish publishes documents at the same time from the same base and
// checks that one is accepted and each other one conflicts:
// race-publish BASE DOCUMENT DOCUMENT ...
func cmdRacePublish(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts).stage
	outs := make([]string, len(args)-1)
	var wg sync.WaitGroup
	for i, doc := range args[1:] {
		wg.Go(func() {
			outs[i], _ = s.Operate(context.Background(), "publish", "-base", args[0], "-reason", doc, doc)
		})
	}
	wg.Wait()
	all := strings.Join(outs, "")
	published, conflicts := strings.Count(all, "published version"), strings.Count(all, "conflict: ")
	if published != 1 || conflicts != len(outs)-1 {
		ts.Fatalf("%d published, %d conflicts:\n%s", published, conflicts, all)
	}
}
