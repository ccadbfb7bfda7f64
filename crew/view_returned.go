package crew

import (
	"time"

	"vanillalug.example"
)

// returns reports whether an entry of a revision is that of a target which had been removed from the same
// registry. The target may be back, or a heartbeat from before it left was performed late: the entry can't
// tell, as the registry doesn't pass on each heartbeat.
func (v *View) returns(next *entry, x tombstone, revision vanillalug.StoreRevision) bool {
	if !x.removed || x.revision.Epoch() != revision.Epoch() || next.restarted {
		return false
	}
	old, known := v.entries[next.target.id]
	return !known || old.returned || !old.sameTarget(next)
}

// returnAt marks an entry as one that is back after its removal.
func (e *entry) returnAt(now time.Time) {
	e.withdraw(now)
	e.returned = true
}

// applyVerified lets a returned target take work.
func (v *View) applyVerified(e Verified) []Effect {
	old, known := v.entries[e.Target.id]
	if !known || !old.returned || old.target.Incarnation() != e.Target.Incarnation() {
		return nil
	}
	v.tombstones.drop(e.Target)
	next := *old
	next.trust()
	return v.replace(&next)
}

// AwaitsVerification reports whether a target has returned and hasn't been verified.
func (v *View) AwaitsVerification(t Target) bool {
	e, known := v.entries[t.id]
	return known && e.returned && e.target.Incarnation() == t.Incarnation()
}
