package crew

import "time"

// earlier reports whether an entry may be of an earlier run than one that the view knows under its id: the registry
// may perform a heartbeat long after it was sent. Or the target's clock was set back before it started again; the
// entry can't tell. Without start times this holds for a run that has announced its end, at the same address.
func (v *View) earlier(next *entry) bool {
	old, known := v.entries[next.target.id]
	if known && old.sameTarget(next) {
		return false
	}
	if next.restarted {
		x, found := v.tombstones.get(next.target)
		return found && x.final && x.target.address == next.target.address ||
			known && old.final() && old.target.address == next.target.address
	}
	return next.target.startMillis < v.newestStart(next.target.id)
}

// newestStart returns the latest start of a run under an id, in Unix milliseconds.
func (v *View) newestStart(id string) int64 {
	newest := v.tombstones.newestStart(id)
	if e, known := v.entries[id]; known {
		newest = max(newest, e.target.startMillis)
	}
	return newest
}

// doubt marks an entry as one that may be of an earlier run, so that the target is asked before it is used.
func (e *entry) doubt(now time.Time) {
	e.returnAt(now)
	e.earlier = true
}

// doubtEarlier doubts the entry under an id if a later run has become known that isn't in the registry.
func (v *View) doubtEarlier(id string, now time.Time) []Effect {
	old, known := v.entries[id]
	if !known || !old.takesWork() || old.target.startMillis >= v.newestStart(id) {
		return nil
	}
	if old.unconfirmed && !old.listed {
		return v.drop(old, now, "replaced")
	}
	next := *old
	next.doubt(now)
	return v.replace(&next)
}

// trust lets a target work that was withdrawn.
func (e *entry) trust() {
	e.withdrawn, e.returned, e.earlier = false, false, false
}
