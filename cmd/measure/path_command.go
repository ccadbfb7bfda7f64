package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/measure/path"
	"vanillalug.example/cmd/measure/slope"
)

func runPath(flags *flag.FlagSet, args []string) error {
	bin := flags.String("bin", "bin", "folder with the programs")
	_ = flags.Parse(args)
	ctx := context.Background()
	fast := []stage.Option{
		stage.WithRouters(2), stage.WithEngines(1), stage.WithSlots(4000), stage.WithTokenInterval(0), stage.WithPrefill(0),
	}
	if err := withStage(ctx, *bin, fast, func(s *stage.Stage) error {
		if err := path.Latency(ctx, os.Stdout, s); err != nil {
			return err
		}
		return path.Throughput(ctx, os.Stdout, s)
	}); err != nil {
		return err
	}
	slow := []stage.Option{
		stage.WithRouters(2), stage.WithEngines(1), stage.WithSlots(4000), stage.WithTokenInterval(time.Second), stage.WithPrefill(0),
	}
	return withStage(ctx, *bin, slow, func(s *stage.Stage) error {
		relaying, admitting, err := path.Streams(ctx, s)
		if err != nil {
			return err
		}
		fmt.Println("resident memory by open streams")
		printFit("router that relays", "bytes", "stream", relaying)
		printFit("router that admits", "bytes", "stream", admitting)
		return nil
	})
}

// withStage starts a fleet, runs the function and stops the fleet.
func withStage(ctx context.Context, bin string, opts []stage.Option, run func(*stage.Stage) error) error {
	bin, err := filepath.Abs(bin)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "vanillalug-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := stage.New(dir, bin, opts...)
	if err != nil {
		return err
	}
	defer s.Stop()
	if err := s.Start(ctx); err != nil {
		return err
	}
	return run(s)
}

// printFit prints measurements and the line fitted to them.
func printFit(name, unit, axis string, points []slope.Point) {
	l := slope.Fit(points)
	fmt.Printf("%s:", name)
	for _, p := range points {
		fmt.Printf(" %.4g:%.4g", p.Size, p.Value)
	}
	fmt.Printf("\n  = %.4g %s + %.4g for each %s (spread %.3g, fit %.3f, largest %g)\n",
		l.Intercept(), unit, l.Slope(), axis, l.RMSE(), l.RSquared(), l.MaxSize())
}
