package crew

import (
	"cmp"
	"slices"
)

// UnusedReason is why a target of the view takes no new work.
type UnusedReason string

// The reasons.
const (
	UnusedDraining UnusedReason = "draining"
	// UnusedLeaving is that of a target that stated in a response that it is leaving.
	UnusedLeaving UnusedReason = "leaving"
	// UnusedWithdrawn is that of a target that was removed before the registry, which lists it, was
	// restored from an older copy.
	UnusedWithdrawn UnusedReason = "withdrawn"
	// UnusedUnconfirmed is that of a target whose entry is missing from the registry, perhaps due to an
	// outage, while enough others of its service are confirmed.
	UnusedUnconfirmed UnusedReason = "unconfirmed"
)

// UnusedTarget is a target of the view that takes no new work.
type UnusedTarget struct {
	Target Target
	Reason UnusedReason
}

// Unused returns the targets of a service that Usable leaves out, sorted by id.
func (v *View) Unused(service string) []UnusedTarget {
	usable := map[string]bool{}
	for _, t := range v.Usable()[service] {
		usable[t.id] = true
	}
	var out []UnusedTarget
	for id, e := range v.entries {
		if e.target.service == service && !usable[id] {
			out = append(out, UnusedTarget{Target: e.target, Reason: e.unusedReason()})
		}
	}
	slices.SortFunc(out, func(a, b UnusedTarget) int { return cmp.Compare(a.Target.id, b.Target.id) })
	return out
}

func (e *entry) unusedReason() UnusedReason {
	switch {
	case e.target.state == Draining:
		return UnusedDraining
	case e.leaving:
		return UnusedLeaving
	case e.withdrawn:
		return UnusedWithdrawn
	}
	return UnusedUnconfirmed
}
