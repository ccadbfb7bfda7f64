package office

import (
	"context"
	"sync"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/depot"
)

const (
	// maxGroupSize is the maximum number of writes in one group.
	maxGroupSize = 64
	// groupTimeout is the timeout of one group.
	groupTimeout = 2 * time.Second
)

// groupWriter sends writes to the table in groups: writes that arrive while a group
// is in flight form the next one.
type groupWriter struct {
	table   depot.Table
	mu      sync.Mutex
	queue   []*groupedWrite
	running bool
}

type groupedWrite struct {
	write  depot.Write
	result depot.Result
	err    error
	done   chan struct{}
}

func newGroupWriter(table depot.Table) *groupWriter { return &groupWriter{table: table} }

// write returns the result of the write. If the context ends first, it is unknown
// whether the write took effect.
func (g *groupWriter) write(ctx context.Context, w depot.Write) (depot.Result, error) {
	x := &groupedWrite{write: w, done: make(chan struct{})}
	g.mu.Lock()
	g.queue = append(g.queue, x)
	start := !g.running
	g.running = true
	g.mu.Unlock()
	if start {
		go g.run()
	}
	select {
	case <-x.done:
		return x.result, x.err
	case <-ctx.Done():
		return depot.Result{}, depot.NewUnavailableError("write", true, ctx.Err())
	}
}

func (g *groupWriter) run() {
	for {
		group := g.take()
		if group == nil {
			return
		}
		g.send(group)
	}
}

func (g *groupWriter) take() []*groupedWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.queue) == 0 {
		g.running = false
		return nil
	}
	n := min(maxGroupSize, len(g.queue))
	group := g.queue[:n:n]
	g.queue = g.queue[n:]
	return group
}

func (g *groupWriter) send(group []*groupedWrite) {
	ctx, done := detachedContext(groupTimeout)
	defer done()
	writes := make([]depot.Write, 0, len(group))
	for _, x := range group {
		writes = append(writes, x.write)
	}
	results, err := g.table.Write(ctx, writes)
	meter.Add("table_groups", 1)
	meter.Add("table_writes", len(group))
	for i, x := range group {
		if err != nil {
			x.err = err
		} else {
			x.result = results[i]
		}
		close(x.done)
	}
}
