// Command load is an open-loop load generator for chats with several turns. It
// reports latencies, prompt cache reuse, load skew, run states and control
// traffic.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"vanillalug.example/cmd/load/traffic"
)

const usage = `load sends chats with several turns to the routers of a fleet.

    load -routers ADDRESSES -workspaces NAME:KEY:CLASS:WEIGHT,... [flags]

Arrivals follow a Poisson process at -rate and do not wait for responses. With
-engines the report includes the load skew over the engines, and with -operators
the control traffic of each router.

Exit codes: 0 when every response was complete or stated its run state, 1
otherwise.

`

type options struct {
	routers    string
	workspaces string
	engines    string
	operators  string
	surge      string
	json       bool
	plan       traffic.Plan
}

func main() {
	var o options
	flag.StringVar(&o.routers, "routers", "127.0.0.1:8001", "caller listeners of the routers, separated by commas")
	flag.StringVar(&o.workspaces, "workspaces", "", "NAME:KEY:CLASS:WEIGHT, separated by commas")
	flag.StringVar(&o.engines, "engines", "", "addresses of the fake engines, separated by commas")
	flag.StringVar(&o.operators, "operators", "", "operator listeners of the routers, separated by commas")
	flag.StringVar(&o.surge, "surge", "", "NAME:FACTOR:FROM:TO, such as large:10:5s:15s")
	flag.BoolVar(&o.json, "json", false, "write JSON")
	flag.StringVar(&o.plan.Model, "model", "small", "name of the model")
	flag.Float64Var(&o.plan.Rate, "rate", 20, "requests a second")
	flag.DurationVar(&o.plan.Duration, "duration", 10*time.Second, "how long to send requests")
	flag.Float64Var(&o.plan.ReturningShare, "returning", 0.7, "share of arrivals that continue an idle chat, if there is one")
	flag.DurationVar(&o.plan.ThinkTime, "pause", time.Second, "minimum think time before the next turn of a chat")
	flag.IntVar(&o.plan.PromptTokens, "prompt", 100, "tokens that each message adds to the prompt")
	flag.IntVar(&o.plan.ResponseTokens, "tokens", 20, "tokens of a response")
	flag.Uint64Var(&o.plan.Seed, "seed", 1, "random seed")
	flag.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	if err := o.parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(o.run(context.Background()))
}

func (o *options) parse() error {
	o.plan.Routers = splitList(o.routers)
	for _, text := range splitList(o.workspaces) {
		parts := strings.Split(text, ":")
		if len(parts) != 4 {
			return fmt.Errorf("-workspaces: %q: want NAME:KEY:CLASS:WEIGHT", text)
		}
		weight, err := strconv.ParseFloat(parts[3], 64)
		if err != nil || weight <= 0 {
			return fmt.Errorf("-workspaces: %q: want a weight above 0", text)
		}
		ws := traffic.Workspace{Name: parts[0], Key: parts[1], Class: parts[2], Weight: weight}
		o.plan.Workspaces = append(o.plan.Workspaces, ws)
	}
	if len(o.plan.Workspaces) == 0 || o.plan.Rate <= 0 {
		return fmt.Errorf("-workspaces and a -rate above 0 are required")
	}
	return o.parseSurge()
}

func (o *options) parseSurge() error {
	if o.surge == "" {
		return nil
	}
	parts := strings.Split(o.surge, ":")
	if len(parts) != 4 {
		return fmt.Errorf("-surge: %q: want NAME:FACTOR:FROM:TO", o.surge)
	}
	factor, err1 := strconv.ParseFloat(parts[1], 64)
	from, err2 := time.ParseDuration(parts[2])
	to, err3 := time.ParseDuration(parts[3])
	if err1 != nil || err2 != nil || err3 != nil {
		return fmt.Errorf("-surge: %q: want NAME:FACTOR:FROM:TO", o.surge)
	}
	o.plan.Surge = traffic.Surge{Workspace: parts[0], Factor: factor, From: from, To: to}
	return nil
}

func (o *options) run(ctx context.Context) int {
	start := time.Now()
	before := o.readControl(ctx)
	r := traffic.Run(ctx, o.plan)
	after := o.readControl(ctx)
	for _, name := range splitList(o.operators) {
		r.Control = append(r.Control, traffic.ControlRates(name, before[name], after[name], time.Since(start)))
	}
	o.readEngines(ctx, r)
	if o.json {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		_ = enc.Encode(r)
	} else {
		r.Write(os.Stdout)
	}
	if r.RunStates["wrong-answer"]+r.RunStates["connection-failed"]+r.RunStates["cut-without-word"] > 0 {
		return 1
	}
	return 0
}

func (o *options) readControl(ctx context.Context) map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	for _, name := range splitList(o.operators) {
		kinds, err := traffic.ReadControlBytes(ctx, name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		out[name] = kinds
	}
	return out
}

func (o *options) readEngines(ctx context.Context, r *traffic.Report) {
	var engines []traffic.EngineReport
	for _, address := range splitList(o.engines) {
		e, err := traffic.ReadEngine(ctx, address)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		engines = append(engines, e)
	}
	r.SetEngines(engines)
}

func splitList(s string) []string {
	var out []string
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
