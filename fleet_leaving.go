package vanillalug

import (
	"maps"
	"strings"
)

// WithLeaving returns a copy of the document in which an engine or target is
// marked as leaving. The title is that of its section, such as "engine e1". It
// returns false if there is no such section.
func (f *Fleet) WithLeaving(title string) (*Fleet, bool) {
	kind, name, _ := strings.Cut(title, " ")
	out := *f
	out.engines = maps.Clone(f.engines)
	out.targets = maps.Clone(f.targets)
	switch kind {
	case "engine":
		e, ok := out.engines[name]
		if !ok {
			return nil, false
		}
		e.leaving = true
		out.engines[name] = e
	case "target":
		t, ok := out.targets[name]
		if !ok {
			return nil, false
		}
		t.leaving = true
		out.targets[name] = t
	default:
		return nil, false
	}
	out.index()
	return &out, true
}
