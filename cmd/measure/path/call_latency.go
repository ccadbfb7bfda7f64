package path

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/caller"
)

// callLatency measures service calls one after the other: retryable ones, and
// non-idempotent ones, which are claimed in the ledger's table first.
func callLatency(ctx context.Context, out io.Writer, s *stage.Stage, router string) error {
	fmt.Fprintf(out, "%d calls one after the other, microseconds\n", latencyTurns)
	fmt.Fprintln(out, "| call | p50 | p95 | p99 |")
	fmt.Fprintln(out, "|---|---|---|---|")
	for _, row := range []struct{ name, method, path string }{
		{"repeatable", http.MethodGet, "/bookings/crews/1"},
		{"non-idempotent, with its claim", http.MethodPost, "/bookings/deposits"},
	} {
		h := hdrhistogram.New(1, maxMicros, 3)
		c := caller.New()
		for range latencyTurns {
			begun := time.Now()
			a := c.Call(ctx, caller.Call{
				Router: s.Address(router), Key: stage.KeyOf("contabile"), Method: row.method, Path: row.path,
			})
			if a.Status != http.StatusCreated {
				return fmt.Errorf("callLatency: %s: status %d", row.name, a.Status)
			}
			_ = h.RecordValue(time.Since(begun).Microseconds())
		}
		fmt.Fprintf(out, "| %s | %d | %d | %d |\n", row.name,
			h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99))
	}
	return nil
}
