package gateway

import (
	"context"
	"sync"
	"time"

	"vanillalug.example/cmd/router/meter"
)

const (
	// readRegistryTimeout is how long a request waits for the registry, and readRegistryPause the
	// time between two reads after one has failed.
	readRegistryTimeout = 300 * time.Millisecond
	readRegistryPause   = time.Second
	// sharedReadTime is how long a read counts for requests that need one.
	sharedReadTime = 100 * time.Millisecond
)

// registryReads are the reads of the registry for requests. Those that need one at the same time
// share it. It is safe for concurrent use.
type registryReads struct {
	mu       sync.Mutex
	readAt   time.Time
	failedAt time.Time
}

// readRegistry reads what has changed in the registry, so that the view is that of the present. A
// failure isn't returned: the history of software versions tells that it may be older.
func (g *Gateway) readRegistry(ctx context.Context) {
	s := &g.registryReads
	s.mu.Lock()
	defer s.mu.Unlock()
	now := g.clock.Now()
	if now.Sub(s.readAt) < sharedReadTime || now.Sub(s.failedAt) < readRegistryPause {
		return
	}
	since := g.versions().registry
	if since.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readRegistryTimeout)
	defer cancel()
	rows, err := g.store.TargetChanges(ctx, since, 0)
	if err != nil {
		s.failedAt = now
		meter.CountBy("registry_reads", "ok", "false")
		g.log.Warn("cannot read the registry for a stream that goes on", "since", since, "error", err)
		return
	}
	meter.CountBy("registry_reads", "ok", "true")
	g.applyTargetChanges(rows)
	s.readAt = now
	// The registry may have changed since the call, but not before.
	g.softwareVersions.Confirm(true, now)
}
