package crew

import "time"

// applySnapshot replaces the entries by those of a snapshot that isn't older than
// the view. One of a new epoch may lack changes that the view has: what it lacks
// becomes unconfirmed, and what had left or was removed takes no work again.
func (v *View) applySnapshot(e Snapshot) []Effect {
	if v.revision.After(e.Revision) {
		return nil
	}
	restored := !v.revision.IsZero() && e.Revision.Epoch() > v.revision.Epoch()
	if restored {
		v.startEpoch(e.At)
	}
	out := v.applyWithdrawn(Withdrawals{At: e.At, Targets: e.Withdrawn})
	listed := make(map[string]bool, len(e.Targets))
	for _, t := range e.Targets {
		if restored && v.outdated(t) {
			continue
		}
		listed[t.id] = true
		next := v.listedEntry(t, e)
		if restored {
			v.keepUnconfirmed(&next, e.At)
		}
		out = append(out, v.upsert(next, e.At)...)
	}
	for _, d := range e.Unconfirmed {
		next := entry{target: d.Target, unconfirmed: true, until: e.At.Add(d.TimeLeft)}
		if v.earlier(&next) {
			// There is no entry that could be of a new run.
			continue
		}
		listed[d.Target.id] = true
		out = append(out, v.upsert(next, e.At)...)
	}
	v.log.clear()
	for _, t := range v.All() {
		if !listed[t.id] {
			out = append(out, v.remove(t.id, e.At)...)
		}
	}
	v.revision = e.Revision
	return out
}

// startEpoch prepares the view for a snapshot of a registry that was restored.
func (v *View) startEpoch(now time.Time) {
	v.recoveredAt = now
	for _, e := range v.entries {
		e.rewritten = false
		if e.unconfirmed {
			e.until = now.Add(GracePeriod)
		}
	}
}

// listedEntry returns the entry of a target that a snapshot lists.
func (v *View) listedEntry(t Target, e Snapshot) entry {
	out := entry{target: t}
	if e.Revision.Epoch() == v.revision.Epoch() {
		out.restarted = v.restarted(t)
	}
	x, found := v.tombstones.get(t)
	switch {
	case !found || x.final:
	case x.covers(t, e.Revision):
		out.withdraw(e.At)
	case v.returns(&out, x, e.Revision):
		out.returnAt(e.At)
	}
	return out
}

// keepUnconfirmed leaves a target unconfirmed whose entry was missing before the
// registry was restored, unless the target has reported since.
func (v *View) keepUnconfirmed(next *entry, now time.Time) {
	old, known := v.entries[next.target.id]
	if !known || !old.unconfirmed || !old.sameTarget(next) || next.target.reportedSince(old.target) {
		return
	}
	next.unconfirmed = true
	next.listed = true
	next.until = now.Add(GracePeriod)
}
