package path

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/caller"
)

const (
	latencyTurns  = 400
	latencyTokens = 50
	maxMicros     = int64(time.Minute / time.Microsecond)
)

// latencies holds the latencies of many turns of one caller in microseconds.
type latencies struct {
	firstToken *hdrhistogram.Histogram
	complete   *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{firstToken: hdrhistogram.New(1, maxMicros, 3), complete: hdrhistogram.New(1, maxMicros, 3)}
}

// Latency measures the time to the first token and to the end of the response
// of turns one after the other: at the engine, through the router that admits,
// and through one that relays.
func Latency(ctx context.Context, out io.Writer, s *stage.Stage) error {
	direct, err := measureTurns(ctx, s.Address("e1"))
	if err != nil {
		return err
	}
	admitter, other, err := findAdmitter(ctx, s)
	if err != nil {
		return err
	}
	local, err := measureTurns(ctx, s.Address(admitter))
	if err != nil {
		return err
	}
	relayed, err := measureTurns(ctx, s.Address(other))
	if err != nil {
		return err
	}
	if err := callLatency(ctx, out, s, admitter); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d turns of %d tokens one after the other, microseconds\n", latencyTurns, latencyTokens)
	fmt.Fprintln(out, "| way | first token p50 | p95 | p99 | whole answer p50 | p95 | p99 |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	for _, row := range []struct {
		name string
		l    latencies
	}{{"engine alone", direct}, {"one router", local}, {"router and relay", relayed}} {
		fmt.Fprintf(out, "| %s | %d | %d | %d | %d | %d | %d |\n", row.name,
			row.l.firstToken.ValueAtQuantile(50), row.l.firstToken.ValueAtQuantile(95), row.l.firstToken.ValueAtQuantile(99),
			row.l.complete.ValueAtQuantile(50), row.l.complete.ValueAtQuantile(95), row.l.complete.ValueAtQuantile(99))
	}
	return nil
}

func measureTurns(ctx context.Context, address string) (latencies, error) {
	l := newLatencies()
	c := caller.New()
	for i := range latencyTurns {
		r := c.Chat(ctx, newTurn(address, fmt.Sprintf("latency-%d", i%20), latencyTokens))
		if !r.Complete {
			return l, fmt.Errorf("measureTurns: %s: response is incomplete after %d tokens", address, r.Tokens)
		}
		_ = l.firstToken.RecordValue(r.FirstToken.Microseconds())
		_ = l.complete.RecordValue(r.Total.Microseconds())
	}
	return l, nil
}

func newTurn(address, chat string, tokens int) caller.Turn {
	return caller.Turn{
		Router: address, Key: stage.KeyOf("taller-norte"), Model: stage.Model, Chat: chat, PromptTokens: 100, ResponseTokens: tokens,
	}
}

// findAdmitter returns the router that admits for the only engine, and the one
// that does not. A turn through each shows which of them relays to the other.
func findAdmitter(ctx context.Context, s *stage.Stage) (admitter, other string, err error) {
	for _, name := range []string{"r1", "r2"} {
		if c, err := SumMetrics(ctx, s, name, `vanillalug_relays_served_total`); err == nil && c > 0 {
			return name, map[string]string{"r1": "r2", "r2": "r1"}[name], nil
		}
		other := map[string]string{"r1": "r2", "r2": "r1"}[name]
		r := caller.New().Chat(ctx, newTurn(s.Address(other), "find", 1))
		if !r.Complete {
			return "", "", fmt.Errorf("findAdmitter: response is incomplete after %d tokens", r.Tokens)
		}
		if c, err := SumMetrics(ctx, s, name, `vanillalug_relays_served_total`); err == nil && c > 0 {
			return name, other, nil
		}
	}
	return "", "", fmt.Errorf("findAdmitter: no router served a relay")
}
