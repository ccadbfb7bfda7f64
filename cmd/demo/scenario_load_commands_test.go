package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/traffic"
)

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
