package crew

import "time"

// Unconfirmed returns the unconfirmed targets with their remaining grace
// periods.
func (v *View) Unconfirmed(now time.Time) []UnconfirmedTarget {
	var out []UnconfirmedTarget
	for _, e := range v.entries {
		if e.unconfirmed {
			out = append(out, UnconfirmedTarget{Target: e.target, TimeLeft: min(max(e.until.Sub(now), 0), GracePeriod)})
		}
	}
	return out
}

// remove removes a target: at once, or after the grace period if its entry may
// be missing due to an outage of the registry.
func (v *View) remove(id string, now time.Time) []Effect {
	e, known := v.entries[id]
	if !known {
		return nil
	}
	until := v.recoveredAt.Add(GracePeriod)
	if !e.takesWork() || !v.registryLost && !now.Before(until) {
		return v.drop(e, now, "removed")
	}
	if e.unconfirmed {
		e.listed = false
		return nil
	}
	next := *e
	next.unconfirmed = true
	next.until = until
	return v.replace(&next)
}

// drop removes an entry from the view and remembers its incarnation.
func (v *View) drop(e *entry, now time.Time, reason string) []Effect {
	v.addTombstone(e, true, now)
	v.unset(e.target.id)
	if !e.takesWork() {
		return nil
	}
	return leave(e, reason)
}

func (v *View) handleRecovery(e RegistryRecovered) []Effect {
	if !v.registryLost {
		return nil
	}
	v.registryLost = false
	v.recoveredAt = e.At
	for _, entry := range v.entries {
		switch {
		case entry.unconfirmed:
			entry.until = e.At.Add(GracePeriod)
		case entry.withdrawn:
			entry.until = e.At.Add(withdrawnTime)
		}
	}
	return nil
}

// expire ends the time of unconfirmed and of withdrawn targets.
func (v *View) expire(e Tick) []Effect {
	v.tombstones.expire(e.At)
	if v.registryLost {
		return nil
	}
	var out []Effect
	for _, entry := range v.entries {
		if e.At.Before(entry.until) {
			continue
		}
		switch {
		case entry.unconfirmed && entry.listed:
			// The zero revision says that every listing is from before the removal.
			v.tombstones.add(tombstone{target: entry.target, at: e.At})
			next := *entry
			next.withdraw(e.At)
			out = append(out, v.replace(&next)...)
		case entry.unconfirmed:
			v.log.clear()
			out = append(out, v.drop(entry, e.At, "lapsed")...)
		case entry.withdrawn:
			v.tombstones.drop(entry.target)
			next := *entry
			next.trust()
			out = append(out, v.replace(&next)...)
		}
	}
	return out
}
