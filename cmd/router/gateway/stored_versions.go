package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"vanillalug.example/edition"
	"vanillalug.example/platform"
)

const (
	// storeVersionsDelay lets a router that has started hear of the others first, so that one
	// of them writes.
	storeVersionsDelay = 3 * time.Second
	// storeVersionsInterval is the time between two checks of what the store has.
	storeVersionsInterval = time.Second
	// recheckVersionsInterval is how long the router that writes relies on what it has read.
	recheckVersionsInterval = time.Minute
	// readVersionsTimeout is how long a request waits for the store's versions, and
	// readVersionsPause the time between two reads after one has failed.
	readVersionsTimeout = 500 * time.Millisecond
	readVersionsPause   = time.Second
)

// errReadVersionsLately is returned instead of a read soon after one that has failed.
var errReadVersionsLately = errors.New("a read has failed lately")

// storedVersions is this router's copy of the software versions in the store. It is safe for
// concurrent use.
type storedVersions struct {
	mu       sync.Mutex
	rows     map[string]edition.Stored
	epoch    uint64
	readAt   time.Time
	failedAt time.Time
	// recalled is what the history of this router has of them.
	recalled map[string][]string
}

// readVersions returns the versions in the store by service, read at most maxAge ago and in the
// present epoch of the store. Requests that need them at the same time share one read.
func (g *Gateway) readVersions(ctx context.Context, maxAge time.Duration) (map[string]edition.Stored, error) {
	s := &g.storedVersions
	s.mu.Lock()
	defer s.mu.Unlock()
	now, epoch := g.clock.Now(), g.storeEpoch.Load()
	if s.rows != nil && s.epoch == epoch && now.Sub(s.readAt) < maxAge {
		return s.rows, nil
	}
	if now.Sub(s.failedAt) < readVersionsPause {
		return nil, errReadVersionsLately
	}
	ctx, cancel := context.WithTimeout(ctx, readVersionsTimeout)
	defer cancel()
	reader := g.store.ReadSoftwareVersions()
	if err := readPages(ctx, reader); err != nil {
		s.failedAt = now
		return nil, err
	}
	s.rows, s.epoch, s.readAt = platform.DecodeSoftwareVersions(reader.Rows()), epoch, now
	g.softwareVersions.Recall(s.unknownRows(), now)
	return s.rows, nil
}

// unknownRows returns the rows that another router has written since this one last read or
// wrote them. The caller holds mu.
func (s *storedVersions) unknownRows() map[string]edition.Stored {
	out := map[string]edition.Stored{}
	before := s.recalled
	s.recalled = make(map[string][]string, len(s.rows))
	for service, row := range s.rows {
		s.recalled[service] = row.Versions
		if !slices.Equal(before[service], row.Versions) {
			out[service] = row
		}
	}
	return out
}

// written records updates that this router has written. The rows are read again to have their
// revisions.
func (s *storedVersions) written(updates []edition.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = nil
	for _, u := range updates {
		s.recalled[u.Service] = u.Versions
	}
}

// drop makes the next read ask the store.
func (s *storedVersions) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = nil
}

// keepVersionsStored keeps the software versions of all services in the store while this router
// is the one that does so for all.
func (g *Gateway) keepVersionsStored(ctx context.Context) {
	sleep(ctx, storeVersionsDelay+rand.N(storeVersionsInterval))
	for ctx.Err() == nil {
		writer := g.chooseStoreWriter()
		g.storeWriter.Store(&writer)
		if writer.own {
			// Records first: streams may begin at a new version as soon as the store has it.
			g.storeBacklog(ctx)
			g.storeVersions(ctx)
		}
		g.awaitNewVersion(ctx)
	}
}

// storeVersions writes to the store what this router has seen and the store doesn't have.
func (g *Gateway) storeVersions(ctx context.Context) {
	stored, err := g.readVersions(ctx, recheckVersionsInterval)
	if err != nil {
		g.log.Warn("cannot read the software versions in the store", "error", err)
		return
	}
	updates := edition.Updates(stored, g.softwareVersions.All(g.clock.Now()))
	updates = updates[:min(len(updates), platform.MaxVersionUpdates)]
	if len(updates) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := g.store.WriteSoftwareVersions(ctx, updates); err != nil {
		g.storedVersions.drop()
		g.log.Warn("cannot write the software versions to the store", "error", err)
		return
	}
	g.storedVersions.written(updates)
	g.confirmRollouts(storedBy(updates))
	g.log.Info("software versions stored", "services", len(updates), "service", updates[0].Service, "versions", updates[0].Versions)
}

// storedBy returns what the store has after updates.
func storedBy(updates []edition.Update) map[string]edition.Stored {
	out := make(map[string]edition.Stored, len(updates))
	for _, u := range updates {
		out[u.Service] = edition.Stored{Versions: u.Versions}
	}
	return out
}

// storedAnswer returns what the store has of a service's versions as an answer, or none. It was
// read after this router's own history began: together they have no gap.
func (g *Gateway) storedAnswer(ctx context.Context, service string) []edition.Answer {
	maxAge := g.clock.Now().Sub(g.softwareVersions.Since())
	stored, err := g.readVersions(ctx, min(maxAge, edition.HistoryTime))
	if err != nil {
		g.log.Warn("cannot read the software versions in the store", "service", service, "error", err)
		return nil
	}
	return []edition.Answer{stored[service].Answer()}
}
