package crew

import (
	"cmp"
	"slices"
)

// Leaving returns the targets by service that take no new work but whose entries are still in the
// registry, so that they run and can be copied from, sorted by id.
func (v *View) Leaving() map[string][]Target {
	out := map[string][]Target{}
	for _, e := range v.entries {
		if e.final() && !e.unconfirmed && !e.withdrawn {
			out[e.target.service] = append(out[e.target.service], e.target)
		}
	}
	for _, targets := range out {
		slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.id, b.id) })
	}
	return out
}
