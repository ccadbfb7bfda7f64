package crew

import "time"

// doubt takes over a peer's doubt.
func (b *View) doubt(t Target, until time.Time) []Effect {
	out := b.put(t)
	e := b.targets[t.id]
	if e.target.state != Ready {
		return out
	}
	e.doubted = true
	e.until = until
	return append(out, Unconfirmed{Target: e.target, Until: until})
}

// Doubts returns the targets whose entries are gone, and how long they may
// still come back.
func (b *View) Unconfirmed(now time.Time) []UnconfirmedTarget {
	var out []UnconfirmedTarget
	for _, e := range b.targets {
		if e.doubted {
			out = append(out, UnconfirmedTarget{Target: e.target, TimeLeft: min(max(e.until.Sub(now), 0), GracePeriod)})
		}
	}
	return out
}

// drop forgets a target, at once or after the time in which an entry that
// lapsed during the registry's trouble may return.
func (b *View) drop(id string, now time.Time) []Effect {
	e, known := b.targets[id]
	if !known {
		return nil
	}
	until := b.regained.Add(GracePeriod)
	if e.target.state == Ready && (b.lost || now.Before(until)) {
		if e.doubted {
			return nil
		}
		e.doubted = true
		e.until = until
		return []Effect{Unconfirmed{Target: e.target, Until: until}}
	}
	b.unset(id)
	if e.target.state != Ready {
		return nil
	}
	return []Effect{Left{Target: e.target, Reason: "removed"}}
}

func (b *View) regain(e RegistryRecovered) []Effect {
	if !b.lost {
		return nil
	}
	b.lost = false
	b.regained = e.At
	for _, entry := range b.targets {
		if entry.doubted {
			entry.until = e.At.Add(GracePeriod)
		}
	}
	return nil
}

func (b *View) elapse(e Tick) []Effect {
	if b.lost {
		return nil
	}
	var out []Effect
	for id, entry := range b.targets {
		if entry.doubted && !e.At.Before(entry.until) {
			b.trail.clear()
			b.unset(id)
			out = append(out, Left{Target: entry.target, Reason: "lapsed"})
		}
	}
	return out
}
