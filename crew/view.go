package crew

import (
	"cmp"
	"slices"
	"time"
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
	revision     uint64
	registryLost bool
	recoveredAt  time.Time
}

type entry struct {
	target Target
	// unconfirmed marks a target whose entry is missing from the registry,
	// which may be due to an outage of the registry.
	unconfirmed bool
	// until is when an unconfirmed target is removed.
	until time.Time
}

// NewView returns an empty View.
func NewView() *View { return &View{entries: map[string]*entry{}} }

// Revision returns the revision of the registry that the view corresponds to.
func (v *View) Revision() uint64 { return v.revision }

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
		if e.target.state != Ready {
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

func (v *View) applySnapshot(e Snapshot) []Effect {
	if e.Revision < v.revision {
		return nil
	}
	listed := make(map[string]bool, len(e.Targets))
	var out []Effect
	for _, t := range e.Targets {
		listed[t.id] = true
		out = append(out, v.upsert(t)...)
	}
	for _, d := range e.Unconfirmed {
		listed[d.Target.id] = true
		out = append(out, v.addUnconfirmed(d.Target, e.At.Add(d.TimeLeft))...)
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

// applyBatch applies the changes that are newer than the view's revision.
func (v *View) applyBatch(e Batch) []Effect {
	var out []Effect
	start := v.revision
	for _, c := range e.Changes {
		revision := revisionOf(c)
		if revision <= start {
			continue
		}
		before := v.digest
		v.revision = max(v.revision, revision)
		out = append(out, v.applyChange(c)...)
		if v.digest != before {
			v.log.add(before, c)
		}
	}
	return out
}

// applyDelta applies a peer's changes, unless the view has changed since it
// requested them.
func (v *View) applyDelta(e Delta) []Effect {
	if e.Digest != v.digest {
		return nil
	}
	out := v.applyBatch(Batch{Changes: e.Changes})
	v.revision = max(v.revision, e.Revision)
	return out
}

func (v *View) applyChange(c Event) []Effect {
	switch c := c.(type) {
	case Changed:
		return v.upsert(c.Target)
	case Removed:
		return v.remove(c.ID, c.At)
	}
	return nil
}

// upsert adds or replaces an entry. An incarnation that was draining never takes
// work again.
func (v *View) upsert(t Target) []Effect {
	old, known := v.entries[t.id]
	if !known {
		v.set(&entry{target: t})
		if t.state == Ready {
			return []Effect{Joined{Target: t}}
		}
		return nil
	}
	before := old.target
	wasUnconfirmed := old.unconfirmed
	same := before.Incarnation() == t.Incarnation() && before.address == t.address && before.service == t.service
	if same && before.state == Draining {
		t.state = Draining
	}
	v.set(&entry{target: t})
	switch {
	case same && before.state == t.state && wasUnconfirmed:
		return []Effect{Confirmed{Target: t}}
	case same && before.state == t.state:
		return nil
	case same:
		return []Effect{Left{Target: t, Reason: "leaving"}}
	}
	var out []Effect
	if before.state == Ready {
		out = append(out, Left{Target: before, Reason: "restarted"})
	}
	if t.state == Ready {
		out = append(out, Joined{Target: t})
	}
	return out
}
