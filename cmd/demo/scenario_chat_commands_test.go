package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/caller"
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

// cmdPost sends a POST request with an empty body to a process: post NAME PATH
func cmdPost(ts *testscript.TestScript, _ bool, args []string) {
	arg := parseArgs(ts, args, 2)
	ts.Check(scenarioOf(ts).harness.Post(arg.positional[0], arg.positional[1], ""))
}
