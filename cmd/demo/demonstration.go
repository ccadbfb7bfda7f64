package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/caller"
)

const (
	turnTimeout = 30 * time.Second
	exitTimeout = 20 * time.Second
)

// demonstration runs the events of the demo and counts what held.
type demonstration struct {
	stage  *stage.Stage
	caller *caller.Caller
	checks int
	failed int
}

func newDemonstration(s *stage.Stage) *demonstration {
	return &demonstration{stage: s, caller: caller.New()}
}

// check prints what happened and whether it held.
func (d *demonstration) check(held bool, format string, args ...any) {
	d.checks++
	word := "held  "
	if !held {
		d.failed++
		word = "FAILED"
	}
	fmt.Printf("%s  %s\n", word, fmt.Sprintf(format, args...))
}

func (d *demonstration) run(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, 2*time.Minute)
	defer done()
	begun := time.Now()
	err := d.stage.Start(ctx)
	d.check(err == nil, "the fleet started and the document was published (%.1f s, %v)", time.Since(begun).Seconds(), err)
	if err != nil {
		return
	}
	d.chats(ctx)
	d.bookings(ctx)
	d.engineLeaves(ctx)
	d.routerStops(ctx)
	d.status(ctx)
}

func (d *demonstration) turn(ctx context.Context, router, chat string, number, tokens int) caller.Result {
	ctx, done := context.WithTimeout(ctx, turnTimeout)
	defer done()
	return d.caller.Chat(ctx, d.request(router, chat, number, tokens))
}

func (d *demonstration) request(router, chat string, number, tokens int) caller.Turn {
	return caller.Turn{
		Router: d.stage.Address(router), Key: stage.KeyOf("taller-norte"), Model: stage.Model,
		Chat: chat, Number: number, PromptTokens: 200, ResponseTokens: tokens,
	}
}

// chats lets chats return through other routers and looks for their prefix.
func (d *demonstration) chats(ctx context.Context) {
	for i := range 4 {
		chat := fmt.Sprintf("chat-%d", i)
		for turn := range 3 {
			router := fmt.Sprintf("r%d", (i+turn)%3+1)
			r := d.turn(ctx, router, chat, turn, 20)
			cached := 100 * r.CachedTokens / max(r.PromptTokens, 1)
			held := r.Complete && (turn == 0 || r.CachedTokens > 0)
			d.check(held, "%s, turn %d through %s: %d tokens, whole %v, %d%% of the prompt cached, first token after %.1f ms",
				chat, turn, router, r.Tokens, r.Complete, cached, float64(r.FirstToken.Microseconds())/1000)
		}
	}
}

func (d *demonstration) bookings(ctx context.Context) {
	call := caller.Call{
		Router: d.stage.Address("r1"), Key: stage.KeyOf("taller-norte"), Method: http.MethodPost,
		Path: "/bookings/deposits", Body: `{"crew":4}`, IdempotencyKey: "deposit-1",
	}
	first := d.caller.Call(ctx, call)
	d.check(first.Status == http.StatusCreated && first.RunState == vanillalug.RunDone,
		"booking through r1: status %d, run state %s", first.Status, first.RunState)
	call.Router = d.stage.Address("r2")
	again := d.repeat(ctx, call)
	d.check(again.Replayed && again.Body == first.Body, "repeated through r2: replayed %v, the same answer %v",
		again.Replayed, again.Body == first.Body)
	call.Body = `{"crew":5}`
	other := d.caller.Call(ctx, call)
	d.check(other.Status == http.StatusUnprocessableEntity, "the same key with another body: status %d", other.Status)
	d.check(d.effects("taller-norte/deposit-1") == 1, "effects of the key at the workers: %d", d.effects("taller-norte/deposit-1"))
}

// repeat repeats a call until its outcome is recorded.
func (d *demonstration) repeat(ctx context.Context, call caller.Call) caller.Response {
	for range 20 {
		a := d.caller.Call(ctx, call)
		if a.RunState != vanillalug.RunUnknown {
			return a
		}
		time.Sleep(50 * time.Millisecond)
	}
	return caller.Response{}
}

func (d *demonstration) effects(key string) int {
	total := 0
	for _, worker := range []string{"b1", "b2", "l1", "l2"} {
		raw, err := d.stage.Get(worker, "/effects")
		var counts map[string]int
		if err == nil && json.Unmarshal(raw, &counts) == nil {
			total += counts[key]
		}
	}
	return total
}

// startStream starts a turn and returns when its first tokens are there, or
// when it has ended without them.
func (d *demonstration) startStream(ctx context.Context, turn caller.Turn) <-chan caller.Result {
	const firstTokens = 5
	result := make(chan caller.Result, 1)
	started := make(chan struct{})
	turn.OnToken = func(n int) {
		if n == firstTokens {
			close(started)
		}
	}
	ended := make(chan struct{})
	go func() {
		result <- d.caller.Chat(ctx, turn)
		close(ended)
	}()
	select {
	case <-started:
	case <-ended:
	}
	return result
}

// engineLeaves takes an engine out while a stream runs on it.
func (d *demonstration) engineLeaves(ctx context.Context) {
	result := d.startStream(ctx, d.request("r1", "long-chat", 0, 150))
	engine := d.busyEngine()
	out, err := d.stage.Operate(ctx, "drain", "-engine", engine, "-wait", "10s")
	d.check(err == nil, "engine %s is leaving: %.40q", engine, out)
	before := d.engineTotal(engine)
	for i := range 12 {
		d.turn(ctx, fmt.Sprintf("r%d", i%3+1), fmt.Sprintf("new-%d", i), 0, 3)
	}
	d.check(d.engineTotal(engine) == before, "engine %s got %d of 12 new chats", engine, d.engineTotal(engine)-before)
	r := <-result
	d.check(r.Complete, "the stream in progress on %s: %d tokens, whole %v", engine, r.Tokens, r.Complete)
}

type engineCounts struct {
	Running int `json:"running"`
	Total   int `json:"total"`
}

func (d *demonstration) counts(engine string) engineCounts {
	var c engineCounts
	raw, err := d.stage.Get(engine, "/counts")
	if err == nil {
		_ = json.Unmarshal(raw, &c)
	}
	return c
}

func (d *demonstration) engineTotal(engine string) int { return d.counts(engine).Total }

func (d *demonstration) busyEngine() string {
	for _, e := range []string{"e1", "e2", "e3"} {
		if d.counts(e).Running > 0 {
			return e
		}
	}
	return "e1"
}

// routerStops stops a router while a stream runs through it.
func (d *demonstration) routerStops(ctx context.Context) {
	result := d.startStream(ctx, d.request("r2", "stopping-chat", 0, 200))
	err := d.stage.Signal("r2", syscall.SIGTERM)
	d.check(err == nil, "router r2 was told to stop in the middle of a stream")
	r := <-result
	d.check(r.Complete, "its stream: %d tokens, whole %v", r.Tokens, r.Complete)
	p, err := d.stage.Process("r2")
	if err != nil {
		d.check(false, "r2: %v", err)
		return
	}
	select {
	case <-p.Done():
	case <-time.After(exitTimeout):
	}
	d.check(p.ExitCode() == 0, "r2 ended with exit code %d", p.ExitCode())
	after := d.turn(ctx, "r1", "stopping-chat", 1, 10)
	d.check(after.Complete && after.CachedTokens > 0, "the chat returned through r1: %d of %d prompt tokens cached", after.CachedTokens, after.PromptTokens)
}

func (d *demonstration) status(ctx context.Context) {
	out, err := d.stage.Operate(ctx, "history")
	d.check(err == nil, "history:\n%s", out)
	out, err = d.stage.Operate(ctx, "status")
	d.check(err == nil, "status:\n%s", out)
}
