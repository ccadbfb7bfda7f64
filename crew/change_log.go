package crew

import "slices"

// trailLength is how many changes a book remembers.
const trailLength = 256

// trail has the newest changes of a book, so that a peer that is a little
// behind need not be told of every target.
type trail struct{ steps []step }

type step struct {
	// before is the digest of the book before the change.
	before uint64
	change Event
}

func (t *trail) add(before uint64, change Event) {
	if len(t.steps) >= trailLength {
		t.steps = slices.Delete(t.steps, 0, len(t.steps)-trailLength+1)
	}
	t.steps = append(t.steps, step{before: before, change: change})
}

// clear forgets all, after a change that is not in the trail.
func (t *trail) clear() { t.steps = nil }

// Since returns the changes that lead a book with the digest and the revision
// to this one's beliefs, or false where it must be told everything.
func (b *View) ChangesSince(digest, revision uint64) (changes []Event, ok bool) {
	for i := len(b.trail.steps) - 1; i >= 0; i-- {
		s := b.trail.steps[i]
		if s.before != digest {
			continue
		}
		if revisionOf(s.change) <= revision || b.doubting() {
			return nil, false
		}
		for _, s := range b.trail.steps[i:] {
			changes = append(changes, s.change)
		}
		return changes, true
	}
	return nil, false
}

func (b *View) doubting() bool {
	for _, e := range b.targets {
		if e.doubted {
			return true
		}
	}
	return false
}

// revisionOf returns the revision of a change.
func revisionOf(change Event) uint64 {
	switch c := change.(type) {
	case Changed:
		return c.Revision
	case Removed:
		return c.Revision
	}
	return 0
}
