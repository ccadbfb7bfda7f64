package crew

import (
	"slices"
	"time"

	"vanillalug.example"
)

const (
	// tombstoneTime is how long a removed incarnation is remembered. A store that
	// is restored comes back from a copy that is at most this old.
	tombstoneTime = 2 * time.Minute
	// maxTombstones is the maximum number of incarnations remembered.
	maxTombstones = 1024
)

// tombstone is what a view remembers of an incarnation that was removed from the
// registry.
type tombstone struct {
	target Target
	// revision is that of the view at the removal.
	revision vanillalug.StoreRevision
	// final says that the target itself had announced that it was leaving. That holds for the
	// incarnation, whatever the registry lists later.
	final bool
	// removed says that the entry was removed, and not replaced by that of another incarnation.
	removed bool
	at      time.Time
}

// covers reports whether a listing of the incarnation as of a revision is from
// before the removal, which happens in a copy of the registry that was restored.
func (x tombstone) covers(t Target, listed vanillalug.StoreRevision) bool {
	return !t.reportedSince(x.target) && listed.Epoch() > x.revision.Epoch()
}

// tombstones are the incarnations that were removed from the registry lately.
type tombstones struct {
	byIncarnation map[string]tombstone
	// starts has the starts of the incarnations by id.
	starts map[string][]int64
}

// add remembers an incarnation, and what was known of it already.
func (l *tombstones) add(x tombstone) {
	if l.byIncarnation == nil {
		l.byIncarnation = map[string]tombstone{}
		l.starts = map[string][]int64{}
	}
	if old, known := l.get(x.target); known {
		x.target.raiseCounts(old.target)
		x.final = x.final || old.final
		x.removed = x.removed || old.removed
	} else {
		if len(l.byIncarnation) >= maxTombstones {
			l.dropOldest()
		}
		l.starts[x.target.id] = append(l.starts[x.target.id], x.target.startMillis)
	}
	l.byIncarnation[x.target.Incarnation()] = x
}

// newestStart returns the latest start of an incarnation under an id; 0 if none is remembered.
func (l *tombstones) newestStart(id string) int64 {
	newest := int64(0)
	for _, start := range l.starts[id] {
		newest = max(newest, start)
	}
	return newest
}

// dropOldest makes room: it drops the oldest one, a final one only if all are.
func (l *tombstones) dropOldest() {
	oldest, found := "", false
	for incarnation, x := range l.byIncarnation {
		if !found || x.dropsBefore(l.byIncarnation[oldest]) {
			oldest, found = incarnation, true
		}
	}
	if found {
		l.drop(l.byIncarnation[oldest].target)
	}
}

func (x tombstone) dropsBefore(o tombstone) bool {
	if x.final != o.final {
		return o.final
	}
	return x.at.Before(o.at)
}

func (l *tombstones) get(t Target) (x tombstone, found bool) {
	x, found = l.byIncarnation[t.Incarnation()]
	return x, found
}

func (l *tombstones) drop(t Target) {
	if _, found := l.get(t); !found {
		return
	}
	delete(l.byIncarnation, t.Incarnation())
	left := slices.DeleteFunc(l.starts[t.id], func(start int64) bool { return start == t.startMillis })
	if len(left) == 0 {
		delete(l.starts, t.id)
		return
	}
	l.starts[t.id] = left
}

func (l *tombstones) expire(now time.Time) {
	for _, x := range l.byIncarnation {
		if now.Sub(x.at) >= tombstoneTime {
			l.drop(x.target)
		}
	}
}
