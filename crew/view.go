package crew

import (
	"cmp"
	"slices"
	"time"
)

// ReturnTime is how long after the registry's return an entry that lapsed
// meanwhile may take to be back.
const GracePeriod = 2 * time.Second

// Book holds the beliefs about every target. It does no I/O and reads no clock;
// the caller serializes events.
type View struct {
	targets  map[string]*entry
	digest   uint64
	trail    trail
	revision uint64
	lost     bool
	regained time.Time
}

type entry struct {
	target  Target
	doubted bool
	until   time.Time
}

// NewBook returns a Book that knows no target.
func NewView() *View { return &View{targets: map[string]*entry{}} }

// Revision returns the version of the registry that the beliefs come from.
func (b *View) Revision() uint64 { return b.revision }

// Handle takes an event in and returns what it changed.
func (b *View) Handle(e Event) []Effect {
	switch e := e.(type) {
	case Snapshot:
		return b.list(e)
	case Changed, Removed:
		return b.feed(Batch{Changes: []Event{e}})
	case Batch:
		return b.feed(e)
	case Delta:
		return b.catchUp(e)
	case RegistryLost:
		b.lost = true
	case RegistryRecovered:
		return b.regain(e)
	case Tick:
		return b.elapse(e)
	}
	return nil
}

// Usable returns the targets that take new work, by id. Doubted ones are left
// out unless they are the greater part of their service: then the registry lost
// its entries, and the few that are back must not carry everything.
func (b *View) Usable() map[string][]Target {
	sure, doubted := map[string][]Target{}, map[string][]Target{}
	for _, e := range b.targets {
		if e.target.state != Ready {
			continue
		}
		into := sure
		if e.doubted {
			into = doubted
		}
		into[e.target.service] = append(into[e.target.service], e.target)
	}
	for service, targets := range doubted {
		if len(sure[service]) < len(targets) {
			sure[service] = append(sure[service], targets...)
		}
	}
	for _, targets := range sure {
		slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.id, b.id) })
	}
	return sure
}

// All returns every target that is believed to exist or doubted, by id.
func (b *View) All() []Target { return b.collect(func(*entry) bool { return true }) }

// Sure returns every target that is believed to exist, by id.
func (b *View) Confirmed() []Target { return b.collect(func(e *entry) bool { return !e.doubted }) }

func (b *View) collect(keep func(*entry) bool) []Target {
	out := make([]Target, 0, len(b.targets))
	for _, e := range b.targets {
		if keep(e) {
			out = append(out, e.target)
		}
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (b *View) list(e Snapshot) []Effect {
	if e.Revision < b.revision {
		return nil
	}
	listed := make(map[string]bool, len(e.Targets))
	var out []Effect
	for _, t := range e.Targets {
		listed[t.id] = true
		out = append(out, b.put(t)...)
	}
	for _, d := range e.Unconfirmed {
		listed[d.Target.id] = true
		out = append(out, b.doubt(d.Target, e.At.Add(d.TimeLeft))...)
	}
	b.trail.clear()
	for _, t := range b.All() {
		if !listed[t.id] {
			out = append(out, b.drop(t.id, e.At)...)
		}
	}
	b.revision = e.Revision
	return out
}

// feed believes the changes that are newer than what was heard before.
func (b *View) feed(e Batch) []Effect {
	var out []Effect
	start := b.revision
	for _, c := range e.Changes {
		revision := revisionOf(c)
		if revision <= start {
			continue
		}
		before := b.digest
		b.revision = max(b.revision, revision)
		out = append(out, b.apply(c)...)
		if b.digest != before {
			b.trail.add(before, c)
		}
	}
	return out
}

// catchUp believes a peer's changes, unless other news came in between.
func (b *View) catchUp(e Delta) []Effect {
	if e.Digest != b.digest {
		return nil
	}
	out := b.feed(Batch{Changes: e.Changes})
	b.revision = max(b.revision, e.Revision)
	return out
}

func (b *View) apply(c Event) []Effect {
	switch c := c.(type) {
	case Changed:
		return b.put(c.Target)
	case Removed:
		return b.drop(c.ID, c.At)
	}
	return nil
}

// put believes an entry. A lifetime that was leaving never takes work again.
func (b *View) put(t Target) []Effect {
	old, known := b.targets[t.id]
	if !known {
		b.set(&entry{target: t})
		if t.state == Ready {
			return []Effect{Joined{Target: t}}
		}
		return nil
	}
	before := old.target
	returned := old.doubted
	same := before.Incarnation() == t.Incarnation() && before.address == t.address && before.service == t.service
	if same && before.state == Draining {
		t.state = Draining
	}
	b.set(&entry{target: t})
	switch {
	case same && before.state == t.state && returned:
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
