package crew

import (
	"time"

	"vanillalug.example"
)

// withdrawnTime is how long a target that a restored registry lists, though it had
// been removed before, is not used. By then the registry has removed it again,
// unless the target reports to it.
const withdrawnTime = 10 * time.Second

// WithdrawnTarget is an incarnation that takes no new work although the registry
// may list it as ready, because the registry was restored from an older copy.
type WithdrawnTarget struct {
	Target Target
	// Revision is the revision at which the incarnation was last seen to be
	// withdrawn.
	Revision vanillalug.StoreRevision
	// Final says that the target itself had announced that it was leaving.
	Final bool
}

// Withdrawn returns the incarnations that took no new work when they were last
// seen: those that are leaving, and those that were removed lately.
func (v *View) Withdrawn() []WithdrawnTarget {
	var out []WithdrawnTarget
	for _, e := range v.entries {
		if e.final() {
			out = append(out, WithdrawnTarget{Target: e.target, Revision: v.revision, Final: true})
		}
	}
	for _, x := range v.tombstones.byIncarnation {
		out = append(out, WithdrawnTarget{Target: x.target, Revision: x.revision, Final: x.final})
	}
	return out
}

// applyWithdrawn withdraws the targets that a peer saw leaving or removed. What
// this view has learned from a change in the current epoch is newer than a removal, but not
// than what a target itself announced.
func (v *View) applyWithdrawn(e Withdrawals) []Effect {
	var out []Effect
	for _, w := range e.Targets {
		old, known := v.entries[w.Target.id]
		same := known && old.target.Incarnation() == w.Target.Incarnation()
		if same && old.rewritten && (!w.Final || old.target.restartedSince(w.Target)) {
			continue
		}
		v.tombstones.add(tombstone{target: w.Target, revision: w.Revision, final: w.Final, removed: true, at: e.At})
		if !same {
			out = append(out, v.doubtEarlier(w.Target.id, e.At)...)
			continue
		}
		next := *old
		switch {
		case w.Final:
			next.leaving = true
		case old.target.reportedSince(w.Target):
			continue
		default:
			next.withdraw(e.At)
		}
		out = append(out, v.replace(&next)...)
	}
	return out
}

// applyLeaving withdraws an incarnation that announced in a response that it is
// leaving.
func (v *View) applyLeaving(e Leaving) []Effect {
	v.tombstones.add(tombstone{target: e.Target, revision: v.revision, final: true, at: e.At})
	old, known := v.entries[e.Target.id]
	if !known || old.target.Incarnation() != e.Target.Incarnation() {
		return v.doubtEarlier(e.Target.id, e.At)
	}
	next := *old
	next.leaving = true
	return v.replace(&next)
}

// withdraw marks an entry as one that is listed only because the registry was
// restored.
func (e *entry) withdraw(now time.Time) {
	if e.withdrawn {
		return
	}
	e.withdrawn = true
	e.unconfirmed = false
	e.until = now.Add(withdrawnTime)
}

// outdated reports whether a listed incarnation is older than the one that the
// view has under the same id.
func (v *View) outdated(t Target) bool {
	old, known := v.entries[t.id]
	return known && old.target.startMillis > t.startMillis
}
