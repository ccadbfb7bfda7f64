package crew

import "time"

// entry is a target in a View with its state there.
type entry struct {
	target Target
	// unconfirmed marks a target whose entry is missing from the registry,
	// which may be due to an outage of the registry.
	unconfirmed bool
	// listed says that a restored registry has the entry of an unconfirmed target.
	listed bool
	// withdrawn marks a target that had been removed before the registry, which
	// lists it, was restored from an older copy.
	withdrawn bool
	// returned marks a withdrawn target whose entry is back after its removal: the target
	// has to prove that it isn't leaving, as a late heartbeat may have written the entry.
	returned bool
	// earlier marks a returned target whose entry may be of an earlier run than one that is known: the
	// target has to state its start as well.
	earlier bool
	// until is when an unconfirmed target is removed, and when a withdrawn one is
	// used again.
	until time.Time
	// leaving says that the target announced in a response that it is leaving.
	leaving bool
	// restarted says that the entry is of another run than that known under its incarnation,
	// which has no start time.
	restarted bool
	// rewritten says that a change of the current epoch set the entry.
	rewritten bool
}

// takesWork reports whether the target takes new work, confirmed or not.
func (e *entry) takesWork() bool { return e.target.state == Ready && !e.leaving && !e.withdrawn }

// final reports whether the target itself said that it takes no new work.
func (e *entry) final() bool { return e.target.state == Draining || e.leaving }

// sameTarget reports whether both entries describe one incarnation. An unknown software
// version may be any.
func (e *entry) sameTarget(o *entry) bool {
	return e.target.Incarnation() == o.target.Incarnation() && !o.restarted &&
		e.target.address == o.target.address && e.target.service == o.target.service &&
		(e.target.softwareVersion == o.target.softwareVersion || e.target.softwareVersion == "" || o.target.softwareVersion == "")
}

// sameStart reports whether both entries state the same start of a run under one id, whatever else they state.
func (e *entry) sameStart(o *entry) bool {
	return e.target.startMillis != 0 && e.target.Incarnation() == o.target.Incarnation()
}

// inherit takes over from an older entry of the same incarnation what stays valid.
func (e *entry) inherit(old *entry) {
	if old.target.state == Draining {
		e.target.state = Draining
	}
	if e.target.softwareVersion == "" {
		e.target.softwareVersion = old.target.softwareVersion
	}
	e.target.raiseCounts(old.target)
	e.leaving = e.leaving || old.leaving
	if old.earlier {
		e.withdrawn, e.returned, e.earlier = true, true, true
	}
	if e.withdrawn && old.withdrawn {
		e.until = old.until
	}
}

// reason says why the target takes no new work.
func (e *entry) reason() string {
	if e.earlier {
		return "perhaps of an earlier run"
	}
	if e.returned {
		return "back after its removal"
	}
	if e.withdrawn {
		return "removed before the registry was restored"
	}
	return "leaving"
}

// transition returns the effects of replacing an entry; old is nil for a new one.
func transition(old, next *entry) []Effect {
	if old == nil || !old.takesWork() {
		return arrive(old, next)
	}
	if !old.sameTarget(next) {
		return append(leave(old, "restarted"), arrive(old, next)...)
	}
	switch {
	case next.returned:
		return append(leave(next, next.reason()), returned(next))
	case !next.takesWork():
		return leave(next, next.reason())
	case old.unconfirmed && !next.unconfirmed:
		return []Effect{Confirmed{Target: next.target}}
	case !old.unconfirmed && next.unconfirmed:
		return []Effect{Unconfirmed{Target: next.target, Until: next.until}}
	case old.target.softwareVersion != next.target.softwareVersion:
		return []Effect{VersionLearned{Target: next.target}}
	}
	return nil
}

// arrive returns the effects of an entry whose target took no work before; old is nil for a new one.
func arrive(old, next *entry) []Effect {
	known := old != nil && old.returned && old.sameTarget(next)
	if next.returned && !known {
		return []Effect{returned(next)}
	}
	return join(next)
}

func returned(e *entry) Effect { return Returned{Target: e.target, Earlier: e.earlier} }

// join returns the effects of a target that takes work from now on, if it does.
func join(e *entry) []Effect {
	if !e.takesWork() {
		return nil
	}
	out := []Effect{Joined{Target: e.target}}
	if e.unconfirmed {
		out = append(out, Unconfirmed{Target: e.target, Until: e.until})
	}
	return out
}

func leave(e *entry, reason string) []Effect {
	return []Effect{Left{Target: e.target, Reason: reason}}
}
