package crew

import "time"

// addUnconfirmed adds a target that is unconfirmed at a peer.
func (v *View) addUnconfirmed(t Target, until time.Time) []Effect {
	out := v.upsert(t)
	e := v.entries[t.id]
	if e.target.state != Ready {
		return out
	}
	e.unconfirmed = true
	e.until = until
	return append(out, Unconfirmed{Target: e.target, Until: until})
}

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
	if e.target.state == Ready && (v.registryLost || now.Before(until)) {
		if e.unconfirmed {
			return nil
		}
		e.unconfirmed = true
		e.until = until
		return []Effect{Unconfirmed{Target: e.target, Until: until}}
	}
	v.unset(id)
	if e.target.state != Ready {
		return nil
	}
	return []Effect{Left{Target: e.target, Reason: "removed"}}
}

func (v *View) handleRecovery(e RegistryRecovered) []Effect {
	if !v.registryLost {
		return nil
	}
	v.registryLost = false
	v.recoveredAt = e.At
	for _, entry := range v.entries {
		if entry.unconfirmed {
			entry.until = e.At.Add(GracePeriod)
		}
	}
	return nil
}

func (v *View) expire(e Tick) []Effect {
	if v.registryLost {
		return nil
	}
	var out []Effect
	for id, entry := range v.entries {
		if entry.unconfirmed && !e.At.Before(entry.until) {
			v.log.clear()
			v.unset(id)
			out = append(out, Left{Target: entry.target, Reason: "lapsed"})
		}
	}
	return out
}
