package path

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/caller"
)

const (
	throughputDuration = 5 * time.Second
	throughputStreams  = 32
	throughputCallers  = 32
	longResponseTokens = 2000
)

// workload is the number of tokens or calls that a router served in a time, with
// the processor time used.
type workload struct {
	done  int64
	wall  time.Duration
	cpu   time.Duration
	cores float64
}

func (w workload) perCore() float64 { return float64(w.done) / w.cpu.Seconds() }

// Throughput measures tokens and short calls per second of a router's processor
// time.
func Throughput(ctx context.Context, out io.Writer, s *stage.Stage) error {
	admitter, other, err := findAdmitter(ctx, s)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d callers for %s each\n", throughputStreams, throughputDuration)
	fmt.Fprintln(out, "| work | done a second | cores used | done for each second of a core |")
	fmt.Fprintln(out, "|---|---|---|---|")
	for _, row := range []struct {
		name     string
		router   string
		measured string
		once     func(context.Context, *caller.Caller, string) int64
	}{
		{"tokens through one router", admitter, admitter, streamOnce},
		{"tokens at the router that relays", other, other, streamOnce},
		{"tokens at the router that admits for a relay", other, admitter, streamOnce},
		{"short repeatable calls", admitter, admitter, callOnce},
		{"short non-idempotent calls", admitter, admitter, callNonIdempotentOnce},
	} {
		w, err := measureThroughput(ctx, s, row.router, row.measured, row.once)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %s | %.0f | %.2f | %.0f |\n", row.name, float64(w.done)/w.wall.Seconds(), w.cores, w.perCore())
	}
	return nil
}

func streamOnce(ctx context.Context, c *caller.Caller, address string) int64 {
	return int64(c.Chat(ctx, newTurn(address, "long", longResponseTokens)).Tokens)
}

func callOnce(ctx context.Context, c *caller.Caller, address string) int64 {
	a := c.Call(ctx, caller.Call{Router: address, Key: stage.KeyOf("contabile"), Method: http.MethodGet, Path: "/bookings/crews/1"})
	if a.Status != http.StatusCreated {
		return 0
	}
	return 1
}

func callNonIdempotentOnce(ctx context.Context, c *caller.Caller, address string) int64 {
	a := c.Call(ctx, caller.Call{Router: address, Key: stage.KeyOf("contabile"), Method: http.MethodPost, Path: "/bookings/deposits"})
	if a.Status != http.StatusCreated {
		return 0
	}
	return 1
}

// measureThroughput runs concurrent callers against a router for a time and reads
// what the measured router used meanwhile.
func measureThroughput(ctx context.Context, s *stage.Stage, router, measured string, once func(context.Context, *caller.Caller, string) int64) (workload, error) {
	p, err := s.Process(measured)
	if err != nil {
		return workload{}, err
	}
	before, err := p.Usage()
	if err != nil {
		return workload{}, err
	}
	begun := time.Now()
	var done atomic.Int64
	var wg sync.WaitGroup
	for range throughputCallers {
		wg.Go(func() {
			c := caller.New()
			for time.Since(begun) < throughputDuration {
				done.Add(once(ctx, c, s.Address(router)))
			}
		})
	}
	wg.Wait()
	after, err := p.Usage()
	w := workload{done: done.Load(), wall: time.Since(begun), cpu: after.CPU - before.CPU}
	w.cores = w.cpu.Seconds() / w.wall.Seconds()
	return w, err
}
