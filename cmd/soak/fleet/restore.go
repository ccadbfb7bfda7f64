package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	backupInterval = time.Second
	// maxBackups is the number of backups that are kept, and so the age of the oldest.
	maxBackups = 4
	// restoreOneIn makes one backup in so many a restore instead.
	restoreOneIn = 8
	// maxRewriteTime is how long it takes at most until what the restored store lacks
	// is written again.
	maxRewriteTime = time.Second
)

// RestoreStore takes backups of the store and now and then restores one, until the
// end time. What the operator and the targets wrote since is written again soon. It
// counts as no fault: the time limits hold.
func (h *Harness) RestoreStore(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(backupInterval)
		if len(h.backups) == 0 || random.IntN(restoreOneIn) > 0 {
			h.backups = append(h.backups, h.store.Backup())
			h.backups = h.backups[max(len(h.backups)-maxBackups, 0):]
			continue
		}
		n := random.IntN(len(h.backups))
		h.restore(h.backups[n], time.Duration(random.Int64N(int64(maxRewriteTime))))
		h.record(fmt.Sprintf("store restored from backup %d of %d", n, len(h.backups)))
		h.backups = nil
	}
}

// restore restores a backup and writes again what it lacks after a time.
func (h *Harness) restore(b platformtest.Backup, after time.Duration) {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	defer h.contact.storeReplaced.Begin()()
	h.store.Restore(b)
	time.Sleep(after)
	h.mu.Lock()
	version := h.version
	ready := append([]*platformtest.Target(nil), h.targets...)
	var removed []*platformtest.Target
	for t := range h.removed {
		removed = append(removed, t)
	}
	h.mu.Unlock()
	h.putVersion(version)
	for place := range h.evacuated {
		h.putEvacuation(place)
	}
	for _, t := range ready {
		h.putEntry(t, "ready")
	}
	for _, t := range removed {
		h.putRemoved(t)
	}
}

// putRemoved writes the entry of a removed target that is draining, or deletes it; the caller holds
// registryMu.
func (h *Harness) putRemoved(t *platformtest.Target) {
	h.mu.Lock()
	draining := h.draining[t]
	h.mu.Unlock()
	if draining {
		h.putEntry(t, "draining")
		return
	}
	h.store.Delete("servers", t.ID)
}

// removedAt returns when targets were removed.
func (h *Harness) removedAt() map[*platformtest.Target]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.removed)
}
