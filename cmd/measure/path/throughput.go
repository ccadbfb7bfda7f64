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
	throughputTime    = 5 * time.Second
	throughputStreams = 32
	throughputCallers = 32
	longAnswer        = 2000
)

// work is what a router did in a time, with what it used.
type work struct {
	done  int64
	wall  time.Duration
	cpu   time.Duration
	cores float64
}

func (w work) perCore() float64 { return float64(w.done) / w.cpu.Seconds() }

// Throughput measures tokens and short calls for each second of a router's
// processor time.
func Throughput(ctx context.Context, out io.Writer, s *stage.Harness) error {
	admitter, other, err := findAdmitter(ctx, s)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d callers for %s each\n", throughputStreams, throughputTime)
	fmt.Fprintln(out, "| work | done a second | cores used | done for each second of a core |")
	fmt.Fprintln(out, "|---|---|---|---|")
	for _, row := range []struct {
		name   string
		router string
		watch  string
		once   func(context.Context, *caller.Caller, string) int64
	}{
		{"tokens through one router", admitter, admitter, streamOnce},
		{"tokens at the router that relays", other, other, streamOnce},
		{"tokens at the router that admits for a relay", other, admitter, streamOnce},
		{"short repeatable calls", admitter, admitter, callOnce},
		{"short non-idempotent calls", admitter, admitter, claimOnce},
	} {
		w, err := hammer(ctx, s, row.router, row.watch, row.once)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %s | %.0f | %.2f | %.0f |\n", row.name, float64(w.done)/w.wall.Seconds(), w.cores, w.perCore())
	}
	return nil
}

func streamOnce(ctx context.Context, c *caller.Caller, address string) int64 {
	return int64(c.Chat(ctx, turnTo(address, "long", longAnswer)).Tokens)
}

func callOnce(ctx context.Context, c *caller.Caller, address string) int64 {
	a := c.Call(ctx, caller.Call{Router: address, Key: stage.APIKey("contabile"), Method: http.MethodGet, Path: "/bookings/crews/1"})
	if a.Status != http.StatusCreated {
		return 0
	}
	return 1
}

func claimOnce(ctx context.Context, c *caller.Caller, address string) int64 {
	a := c.Call(ctx, caller.Call{Router: address, Key: stage.APIKey("contabile"), Method: http.MethodPost, Path: "/bookings/deposits"})
	if a.Status != http.StatusCreated {
		return 0
	}
	return 1
}

// hammer keeps many callers at work for a time and reads what the watched
// router used meanwhile.
func hammer(ctx context.Context, s *stage.Harness, router, watch string, once func(context.Context, *caller.Caller, string) int64) (work, error) {
	p, err := s.Process(watch)
	if err != nil {
		return work{}, err
	}
	before, err := p.Usage()
	if err != nil {
		return work{}, err
	}
	begun := time.Now()
	var done atomic.Int64
	var wg sync.WaitGroup
	for range throughputCallers {
		wg.Go(func() {
			c := caller.New()
			for time.Since(begun) < throughputTime {
				done.Add(once(ctx, c, s.Address(router)))
			}
		})
	}
	wg.Wait()
	after, err := p.Usage()
	w := work{done: done.Load(), wall: time.Since(begun), cpu: after.CPU - before.CPU}
	w.cores = w.cpu.Seconds() / w.wall.Seconds()
	return w, err
}
