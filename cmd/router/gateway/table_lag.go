package gateway

import (
	"sync"
	"time"

	"vanillalug.example/cmd/router/meter"
)

// Ways in which a routing table arrives, for metrics.
const (
	tableFromStore = "store"
	tableFromPeer  = "peer"
)

// tableLag is since when this router has known of a routing table that is newer than the active
// one. It is safe for concurrent use.
type tableLag struct {
	mu    sync.Mutex
	heard uint64    // the newest version that was heard of
	since time.Time // zero if the active table is as new
	calls int       // calls to peers since then that were to bring it
}

// hear records that there is a version beyond the active one.
func (l *tableLag) hear(version, active uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= active {
		return
	}
	l.heard = max(l.heard, version)
	if l.since.IsZero() {
		l.since = now
	}
}

// call counts a call to a peer that may bring the table.
func (l *tableLag) call() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.since.IsZero() {
		l.calls++
	}
}

// activate records that a version is active. It returns for how long this router had known that
// its table was old, and how many calls to peers it made meanwhile.
func (l *tableLag) activate(version uint64, now time.Time) (lag time.Duration, calls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		return 0, 0
	}
	lag, calls = now.Sub(l.since), l.calls
	l.calls = 0
	l.since = time.Time{}
	if l.heard > version {
		l.since = now
	}
	return lag, calls
}

// behind returns for how long this router has known of a newer table, and the version.
func (l *tableLag) behind(now time.Time) (time.Duration, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		return 0, 0
	}
	return now.Sub(l.since), l.heard
}

// maxTableLag is how long a router may know of a newer table until it logs that it lacks it, once
// for each version.
const maxTableLag = time.Second

// reportTableLag sets the gauges of the active table, and logs a table that is late.
func (g *Gateway) reportTableLag(now time.Time) {
	active := g.versions().table
	lag, version := g.tableLag.behind(now)
	meter.SetGauge("routing_table_version", float64(active))
	meter.SetGauge("routing_table_behind_seconds", lag.Seconds())
	if lag < maxTableLag || version == g.loggedLag {
		return
	}
	g.loggedLag = version
	g.log.Warn("a newer routing table is known but not in force", "version", active, "newer", version,
		"for", lag.String(), "follows-store", g.followsStore(), "receiving-from-store", g.watchers.table.receiving(),
		"revision", g.watchers.table.knownRevision())
}

// countTableTransfer counts what a call for a routing table brought.
func countTableTransfer(source, result string, bytes int) {
	meter.CountBy("routing_table_transfers", "source", source, "result", result)
	meter.Add("routing_table_received_bytes", bytes)
}
