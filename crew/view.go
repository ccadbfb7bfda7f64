package crew

import (
	"cmp"
	"slices"
	"time"

	"vanillalug.example"
)

// GracePeriod is how long after the registry has recovered a missing entry may
// take to be registered again.
const GracePeriod = 2 * time.Second

// View is a router's view of the targets in the registry. It does no I/O and
// reads no clock; the caller serializes events.
type View struct {
	entries      map[string]*entry
	digest       uint64
	log          changeLog
	tombstones   tombstones
	revision     vanillalug.StoreRevision
	registryLost bool
	recoveredAt  time.Time
}

// NewView returns an empty View.
func NewView() *View { return &View{entries: map[string]*entry{}} }

// Revision returns the revision of the registry that the view corresponds to.
func (v *View) Revision() vanillalug.StoreRevision { return v.revision }

// Handle applies an event and returns its effects.
func (v *View) Handle(e Event) []Effect {
	switch e := e.(type) {
	case Snapshot:
		return v.applySnapshot(e)
	case Changed, Removed:
		return v.applyBatch(Batch{Changes: []Event{e}})
	case Batch:
		return v.applyBatch(e)
	case Delta:
		return v.applyDelta(e)
	case Withdrawals:
		return v.applyWithdrawn(e)
	case Leaving:
		return v.applyLeaving(e)
	case Verified:
		return v.applyVerified(e)
	case RegistryLost:
		v.registryLost = true
	case RegistryRecovered:
		return v.handleRecovery(e)
	case Tick:
		return v.expire(e)
	}
	return nil
}

// Usable returns the targets that take new work by service, sorted by id.
// Unconfirmed ones are left out unless they outnumber the others of their
// service: then the registry has lost its entries, and the few targets that have
// registered again must not take the whole load.
func (v *View) Usable() map[string][]Target {
	confirmed, unconfirmed := map[string][]Target{}, map[string][]Target{}
	for _, e := range v.entries {
		if !e.takesWork() {
			continue
		}
		into := confirmed
		if e.unconfirmed {
			into = unconfirmed
		}
		into[e.target.service] = append(into[e.target.service], e.target)
	}
	for service, targets := range unconfirmed {
		if len(confirmed[service]) < len(targets) {
			confirmed[service] = append(confirmed[service], targets...)
		}
	}
	for _, targets := range confirmed {
		slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.id, b.id) })
	}
	return confirmed
}

// All returns all targets, confirmed or not, sorted by id.
func (v *View) All() []Target { return v.collect(func(*entry) bool { return true }) }

// Confirmed returns the targets whose entries are in the registry, sorted by id.
func (v *View) Confirmed() []Target { return v.collect(func(e *entry) bool { return !e.unconfirmed }) }

// SoftwareVersions returns the software versions of all targets by service, with repetitions;
// "" is an unknown one.
func (v *View) SoftwareVersions() map[string][]string {
	out := map[string][]string{}
	for _, e := range v.entries {
		out[e.target.service] = append(out[e.target.service], e.target.softwareVersion)
	}
	return out
}

func (v *View) collect(keep func(*entry) bool) []Target {
	out := make([]Target, 0, len(v.entries))
	for _, e := range v.entries {
		if keep(e) {
			out = append(out, e.target)
		}
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.id, b.id) })
	return out
}

// applyBatch applies the changes that are newer than the view's revision.
func (v *View) applyBatch(e Batch) []Effect {
	var out []Effect
	start := v.revision
	for _, c := range e.Changes {
		revision := revisionOf(c)
		if !revision.After(start) || revision.Epoch() != start.Epoch() && !start.IsZero() {
			continue
		}
		before := v.digest
		if revision.After(v.revision) {
			v.revision = revision
		}
		out = append(out, v.applyChange(c)...)
		if v.digest != before {
			v.log.add(before, v.asApplied(c))
		}
	}
	return out
}

// applyDelta applies a peer's changes, unless the view has changed since it
// requested them.
func (v *View) applyDelta(e Delta) []Effect {
	if e.Digest != v.digest || e.Revision.Epoch() != v.revision.Epoch() {
		return nil
	}
	out := v.applyBatch(Batch{Changes: e.Changes})
	if e.Revision.After(v.revision) {
		v.revision = e.Revision
	}
	return out
}

// asApplied returns a change with what the view knew of the target besides: a peer that gets the change may not have
// seen it drain.
func (v *View) asApplied(change Event) Event {
	c, ok := change.(Changed)
	if !ok {
		return change
	}
	if e, known := v.entries[c.Target.id]; known {
		c.Target.state = e.target.state
	}
	return c
}

func (v *View) applyChange(c Event) []Effect {
	switch c := c.(type) {
	case Changed:
		next := entry{target: c.Target, rewritten: true, restarted: v.restarted(c.Target)}
		x, found := v.tombstones.get(c.Target)
		switch {
		case !found || x.final:
		case v.returns(&next, x, c.Revision):
			next.target.raiseCounts(x.target)
			next.returnAt(c.At)
		default:
			next.target.raiseCounts(x.target)
			v.tombstones.drop(c.Target)
		}
		return v.upsert(next, c.At)
	case Removed:
		return v.remove(c.ID, c.At)
	}
	return nil
}

// upsert adds or replaces an entry. An incarnation that was draining or has
// announced that it is leaving never takes work again, whatever entry of it comes later and
// from where: a heartbeat may be performed late, or a peer may not know.
func (v *View) upsert(next entry, now time.Time) []Effect {
	old, known := v.entries[next.target.id]
	earlier := v.earlier(&next)
	if next.restarted {
		v.tombstones.drop(next.target)
	}
	if x, found := v.tombstones.get(next.target); found && x.final {
		next.leaving = true
		next.target.raiseCounts(x.target)
		if x.target.state == Draining {
			next.target.state = Draining
		}
	}
	if known && old.final() && next.sameStart(old) {
		next.leaving = true
	}
	if earlier && next.takesWork() {
		next.doubt(now)
	}
	if known && old.sameTarget(&next) {
		next.inherit(old)
	}
	if known && old.target.Incarnation() != next.target.Incarnation() {
		v.addTombstone(old, false, now)
	}
	if !next.takesWork() {
		next.unconfirmed = false
	}
	return v.replace(&next)
}

// replace sets an entry and returns the effects.
func (v *View) replace(next *entry) []Effect {
	old := v.entries[next.target.id]
	v.set(next)
	return transition(old, next)
}

// restarted reports whether an entry without a start time is of another run than the one that
// the view knows under its id.
func (v *View) restarted(t Target) bool {
	if old, known := v.entries[t.id]; known && t.restartedSince(old.target) {
		return true
	}
	x, found := v.tombstones.get(t)
	return found && t.restartedSince(x.target)
}

// addTombstone remembers the incarnation of an entry that is removed or replaced.
func (v *View) addTombstone(e *entry, removed bool, now time.Time) {
	v.tombstones.add(tombstone{target: e.target, revision: v.revision, final: e.final(), removed: removed, at: now})
}
