package vanillalug

import "strings"

// index precomputes the lists that are looked up on every request.
func (f *Fleet) index() {
	f.enginesByModel = map[string][]Engine{}
	f.sharingByEngine = map[string][]Engine{}
	f.targetsByService = map[string][]Target{}
	f.evacuated = map[string]bool{}
	for name, p := range f.places {
		if p.evacuated {
			f.evacuated[name] = true
		}
	}
	f.engineList = sortedValues(f.engines)
	f.targetList = sortedValues(f.targets)
	engines := f.engineList
	for _, e := range engines {
		for _, m := range e.models {
			f.enginesByModel[m] = append(f.enginesByModel[m], e)
		}
	}
	byModels := map[string][]Engine{}
	for _, e := range engines {
		models := strings.Join(e.models, ",")
		if _, ok := byModels[models]; !ok {
			byModels[models] = enginesSharingModel(e, engines)
		}
		f.sharingByEngine[e.name] = byModels[models]
	}
	for _, t := range f.Targets() {
		f.targetsByService[t.service] = append(f.targetsByService[t.service], t)
	}
}

func enginesSharingModel(e Engine, engines []Engine) []Engine {
	var out []Engine
	for _, other := range engines {
		if sharesModel(e, other) {
			out = append(out, other)
		}
	}
	return out
}

func sharesModel(a, b Engine) bool {
	for _, m := range a.models {
		if b.Serves(m) {
			return true
		}
	}
	return false
}
