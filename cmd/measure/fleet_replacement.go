package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/traffic"
	"vanillalug.example/cmd/measure/path"
)

// fleetReplacement restarts every router but the first, one after the other,
// under a load through the first, and then the first under a load through the
// second.
func fleetReplacement(ctx context.Context, s *stage.Harness, seed uint64) error {
	done := make(chan *traffic.Report, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		done <- traffic.Run(context.Background(), trafficPlan(seed+2, []string{s.Address("r1")}, 60*time.Second))
	}()
	begun := time.Now()
	for i := 1; i < fleetRouters; i++ {
		name := fmt.Sprintf("r%d", i+1)
		if err := replaceRouter(ctx, s, name); err != nil {
			return err
		}
	}
	took := time.Since(begun)
	r := <-done
	if err := replaceFirst(ctx, s, seed); err != nil {
		return err
	}
	fmt.Printf("%d routers replaced one after the other in %s under load: %d of %d answers whole, reuse %.3f, states %v\n",
		fleetRouters-1, took.Round(time.Second), r.Complete, r.Sent, r.Reuse, r.RunStates)
	return nil
}

// replaceFirst replaces the first router under a load through the second.
func replaceFirst(ctx context.Context, s *stage.Harness, seed uint64) error {
	done := make(chan *traffic.Report, 1)
	go func() {
		done <- traffic.Run(context.Background(), trafficPlan(seed+4, []string{s.Address("r2")}, 6*time.Second))
	}()
	time.Sleep(time.Second)
	if err := replaceRouter(ctx, s, "r1"); err != nil {
		return err
	}
	r := <-done
	fmt.Printf("the first router replaced under load: %d of %d answers whole\n", r.Complete, r.Sent)
	return nil
}

// fleetCollapse kills half of the engines under load and counts the retries.
func fleetCollapse(ctx context.Context, s *stage.Harness, seed uint64) error {
	before, err := retriesSent(ctx, s)
	if err != nil {
		return err
	}
	done := make(chan *traffic.Report, 1)
	go func() { done <- traffic.Run(ctx, trafficPlan(seed+3, s.Addresses("r", ""), fleetDuration)) }()
	time.Sleep(fleetDuration / 4)
	for i := range fleetEngines / 2 {
		if err := s.Signal(fmt.Sprintf("e%d", 2*i+1), syscall.SIGKILL); err != nil {
			return err
		}
	}
	r := <-done
	after, err := retriesSent(ctx, s)
	if err != nil {
		return err
	}
	fmt.Printf("%d of %d engines killed under load: %d of %d answers whole, states %v, problems %v, %.3f attempts a request\n",
		fleetEngines/2, fleetEngines, r.Complete, r.Sent, r.RunStates, r.Problems, 1+(after-before)/float64(r.Sent))
	return nil
}

// retriesSent returns the number of retries that all routers have sent.
func retriesSent(ctx context.Context, s *stage.Harness) (float64, error) {
	sum := 0.0
	for i := range fleetRouters {
		n, err := path.SumMetrics(ctx, s, fmt.Sprintf("r%d", i+1), `vanillalug_retries_total{result="sent"}`)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

func replaceRouter(ctx context.Context, s *stage.Harness, name string) error {
	p, err := s.Process(name)
	if err != nil {
		return err
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Done():
	case <-time.After(30 * time.Second):
		return fmt.Errorf("replaceRouter: %s did not exit after SIGTERM", name)
	}
	if p.ExitCode() != 0 {
		return fmt.Errorf("replaceRouter: %s exited with code %d", name, p.ExitCode())
	}
	if err := s.StartRouter(name, "router"); err != nil {
		return err
	}
	for range 200 {
		if _, err := s.Get(name, "/readyz"); err == nil {
			return ctx.Err()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("replaceRouter: %s did not become ready", name)
}
