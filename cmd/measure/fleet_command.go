package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/traffic"
)

const (
	fleetRouters     = 18
	fleetEngines     = 10
	publicationCount = 8
	fleetRate        = 60
	fleetTokens      = 60
	fleetPrompt      = 300
	fleetDuration    = 20 * time.Second
)

// runFleet measures a fleet of the present size: a load with returning chats, the
// time until a published version is active at all routers, the time from an
// engine's report that it is leaving to its last new request, a rolling
// replacement of the routers under load, and the loss of half of the engines.
func runFleet(flags *flag.FlagSet, args []string) error {
	bin := flags.String("bin", "bin", "folder with the programs")
	seed := flags.Uint64("seed", 1, "seed")
	_ = flags.Parse(args)
	ctx := context.Background()
	opts := []stage.Option{
		stage.WithRouters(fleetRouters), stage.WithEngines(fleetEngines), stage.WithWorkers(2),
		stage.WithTokenInterval(20 * time.Millisecond), stage.WithPrefill(100 * time.Microsecond),
		stage.WithCacheTokens(400_000), stage.WithBalancerDelay(500 * time.Millisecond),
	}
	return withStage(ctx, *bin, opts, func(s *stage.Harness) error {
		for _, step := range []func(context.Context, *stage.Harness, uint64) error{
			fleetLoad, fleetPublications, fleetLeaving, fleetReplacement, fleetCollapse,
		} {
			if err := step(ctx, s, *seed); err != nil {
				return err
			}
		}
		return nil
	})
}

func trafficPlan(seed uint64, routers []string, d time.Duration) traffic.Plan {
	p := traffic.Plan{
		Routers: routers, Model: stage.Model, Rate: fleetRate, Duration: d, ReturningShare: 0.75,
		ThinkTime: time.Second, PromptTokens: fleetPrompt, ResponseTokens: fleetTokens, Seed: seed,
	}
	for i, ws := range stage.Workspaces {
		class := "interactive"
		if i == 2 {
			class = "batch"
		}
		p.Workspaces = append(p.Workspaces, traffic.Workspace{Name: ws, Key: stage.APIKey(ws), Class: class, Weight: 1})
	}
	return p
}

// fleetLoad measures a load with a fourfold surge of one workspace.
func fleetLoad(ctx context.Context, s *stage.Harness, seed uint64) error {
	plan := trafficPlan(seed, s.Addresses("r", ""), fleetDuration)
	plan.Surge = traffic.Surge{Workspace: "grande", Factor: 4, From: fleetDuration / 2, To: fleetDuration * 3 / 4}
	operators := s.Addresses("r", "/operators")
	before := map[string]map[string]float64{}
	for _, o := range operators {
		kinds, err := traffic.ReadControlBytes(ctx, o)
		if err != nil {
			return err
		}
		before[o] = kinds
	}
	begun := time.Now()
	r := traffic.Run(ctx, plan)
	took := time.Since(begun)
	for i, o := range operators {
		after, err := traffic.ReadControlBytes(ctx, o)
		if err != nil {
			return err
		}
		r.Control = append(r.Control, traffic.ControlRates(fmt.Sprintf("r%d", i+1), before[o], after, took))
	}
	var engines []traffic.EngineReport
	for _, address := range s.Addresses("e", "") {
		e, err := traffic.ReadEngine(ctx, address)
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	r.SetEngines(engines)
	fmt.Printf("%d routers, %d engines, %d requests a second, one workspace times 4 for a quarter of the time\n",
		fleetRouters, fleetEngines, fleetRate)
	r.Write(os.Stdout)
	return nil
}

// fleetPublications measures the time from the start of the publishing command
// until the version is active at every router.
func fleetPublications(ctx context.Context, s *stage.Harness, _ uint64) error {
	var times []time.Duration
	for i := range publicationCount {
		out, err := s.RunOperatorCommand(ctx, "rollback", "-to", "1", "-base", fmt.Sprint(i+1), "-reason", "measured", "-wait", "20s")
		if err != nil {
			return fmt.Errorf("fleetPublications: %w: %s", err, out)
		}
		_, text, _ := strings.Cut(out, " after ")
		d, err := time.ParseDuration(strings.TrimSpace(text))
		if err != nil {
			return fmt.Errorf("fleetPublications: %w: %s", err, out)
		}
		times = append(times, d)
	}
	slices.Sort(times)
	fmt.Printf("in force at all %d routers after: best %s, median %s, worst %s of %d\n",
		fleetRouters, times[0], times[len(times)/2], times[len(times)-1], len(times))
	return nil
}

// fleetLeaving makes an engine report under load that it is leaving, and measures
// the time to its last new request.
func fleetLeaving(ctx context.Context, s *stage.Harness, seed uint64) error {
	done := make(chan *traffic.Report, 1)
	go func() { done <- traffic.Run(ctx, trafficPlan(seed+1, s.Addresses("r", ""), 12*time.Second)) }()
	time.Sleep(3 * time.Second)
	if err := s.SetFaults("e4", `{"leaving":true}`); err != nil {
		return err
	}
	drainStart := time.Now()
	last, total := drainStart, -1
	for time.Since(drainStart) < 8*time.Second {
		e, err := traffic.ReadEngine(ctx, s.Address("e4"))
		if err != nil {
			return err
		}
		if total >= 0 && e.Requests != total {
			last = time.Now()
		}
		total = e.Requests
		time.Sleep(20 * time.Millisecond)
	}
	r := <-done
	fmt.Printf("an engine says that it leaves: last new request after %s; %d of %d answers whole\n",
		last.Sub(drainStart).Round(10*time.Millisecond), r.Complete, r.Sent)
	return s.SetFaults("e4", `{}`)
}
