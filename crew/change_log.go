package crew

import (
	"slices"

	"vanillalug.example"
)

// changeLogSize is the number of changes that a view keeps.
const changeLogSize = 256

// changeLog keeps the newest changes of a view, so that a peer that is slightly
// behind doesn't need a snapshot.
type changeLog struct{ changes []loggedChange }

type loggedChange struct {
	// digestBefore is the digest of the view before the change.
	digestBefore uint64
	change       Event
}

func (l *changeLog) add(digestBefore uint64, change Event) {
	if len(l.changes) >= changeLogSize {
		l.changes = slices.Delete(l.changes, 0, len(l.changes)-changeLogSize+1)
	}
	l.changes = append(l.changes, loggedChange{digestBefore: digestBefore, change: change})
}

// clear empties the log, after a change that isn't recorded in it.
func (l *changeLog) clear() { l.changes = nil }

// ChangesSince returns the changes from a view with the digest and revision to
// this one, or false if that view needs a snapshot.
func (v *View) ChangesSince(digest uint64, revision vanillalug.StoreRevision) (changes []Event, ok bool) {
	for i := len(v.log.changes) - 1; i >= 0; i-- {
		c := v.log.changes[i]
		if c.digestBefore != digest {
			continue
		}
		if !revisionOf(c.change).After(revision) || v.needsSnapshot() {
			return nil, false
		}
		for _, c := range v.log.changes[i:] {
			changes = append(changes, c.change)
		}
		return changes, true
	}
	return nil, false
}

// needsSnapshot reports whether changes alone don't describe the view.
func (v *View) needsSnapshot() bool {
	for _, e := range v.entries {
		if e.unconfirmed || e.withdrawn {
			return true
		}
	}
	return false
}

// revisionOf returns the revision of a change.
func revisionOf(change Event) vanillalug.StoreRevision {
	switch c := change.(type) {
	case Changed:
		return c.Revision
	case Removed:
		return c.Revision
	}
	return vanillalug.StoreRevision{}
}
