package defect

import (
	"cmp"
	"time"
)

// record is the evidence about one part.
type record struct {
	// crashes has the time of the last crash of each target.
	crashes map[TargetKey]time.Time
	// clearedAt is when a complete response was seen; the zero time if none was.
	clearedAt time.Time
	// changedAt is when the record was last changed by an observation of this router
	// or a report that was news.
	changedAt time.Time
}

// covers reports whether every crash that counts for another part is one of this part.
func (r *record) covers(other *record, now time.Time) bool {
	for target, at := range other.crashes {
		if _, both := r.crashes[target]; !both && now.Sub(at) < evidenceTTL {
			return false
		}
	}
	return true
}

// clear makes the crashes up to a time void.
func (r *record) clear(at, now time.Time) {
	if !at.After(r.clearedAt) {
		return
	}
	r.clearedAt = at
	r.changedAt = now
	for target, crashed := range r.crashes {
		if !crashed.After(at) {
			delete(r.crashes, target)
		}
	}
}

// count returns the number of crashes that still count.
func (r *record) count(now time.Time) int {
	n := 0
	for _, at := range r.crashes {
		if now.Sub(at) < evidenceTTL {
			n++
		}
	}
	return n
}

func (r *record) dropOldest() {
	var oldest TargetKey
	var oldestAt time.Time
	for target, at := range r.crashes {
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = target, at
		}
	}
	delete(r.crashes, oldest)
}

func (r *record) expired(now time.Time) bool {
	return r.count(now) == 0 && now.Sub(r.clearedAt) >= clearTTL
}

// compare orders records by their crashes, then by the time of their last change.
func (r *record) compare(other *record, now time.Time) int {
	return cmp.Or(cmp.Compare(r.count(now), other.count(now)), r.changedAt.Compare(other.changedAt))
}
