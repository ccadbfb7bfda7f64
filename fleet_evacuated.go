package vanillalug

import (
	"fmt"
	"maps"
	"slices"

	"vanillalug.example/form"
)

// Evacuated reports whether the place is evacuated. Every decision on a new request to
// an engine or target asks this.
func (f *Fleet) Evacuated(place string) bool { return f.evacuated[place] }

// EvacuatedPlaces returns the names of the evacuated places in order.
func (f *Fleet) EvacuatedPlaces() []string { return slices.Sorted(maps.Keys(f.evacuated)) }

// ModelEvacuated reports whether the model has no engine in use because of evacuated
// places.
func (f *Fleet) ModelEvacuated(model string) bool {
	return allEvacuated(f, f.EnginesFor(model))
}

// ServiceEvacuated reports whether the service has no target in use because of
// evacuated places.
func (f *Fleet) ServiceEvacuated(service string) bool {
	return allEvacuated(f, f.TargetsFor(service))
}

type placed interface {
	Place() string
	Leaving() bool
}

// allEvacuated reports whether some are in evacuated places, and all others are leaving.
func allEvacuated[T placed](f *Fleet, all []T) bool {
	some := false
	for _, t := range all {
		switch {
		case f.Evacuated(t.Place()):
			some = true
		case !t.Leaving():
			return false
		}
	}
	return some
}

// WithEvacuated returns a copy of the document in which the place is evacuated or taken
// back. The copy has the rules level that this needs at least. It returns false if there
// is no such place.
func (f *Fleet) WithEvacuated(place string, evacuated bool) (*Fleet, bool) {
	p, ok := f.places[place]
	if !ok {
		return nil, false
	}
	out := *f
	out.places = maps.Clone(f.places)
	p.evacuated = evacuated
	out.places[place] = p
	if evacuated {
		out.rulesLevel = max(f.rulesLevel, EvacuatedPlaces)
	}
	out.index()
	return &out, true
}

func (f *Fleet) checkRulesLevel(in *form.File) {
	for _, s := range in.Sections("place") {
		if f.places[s.Name()].evacuated && f.rulesLevel < EvacuatedPlaces {
			s.AddError("evacuated", fmt.Sprintf("want rules-level = %d in [fleet], got %d", EvacuatedPlaces, f.rulesLevel))
		}
	}
}
