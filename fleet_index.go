package vanillalug

import "strings"

// index works out the lists that are asked for with every request.
func (f *Fleet) index() {
	f.serving = map[string][]Engine{}
	f.sharing = map[string][]Engine{}
	f.working = map[string][]Target{}
	f.engineList = sortedValues(f.engines)
	f.targetList = sortedValues(f.targets)
	engines := f.engineList
	for _, e := range engines {
		for _, m := range e.models {
			f.serving[m] = append(f.serving[m], e)
		}
	}
	same := map[string][]Engine{}
	for _, e := range engines {
		models := strings.Join(e.models, ",")
		if _, ok := same[models]; !ok {
			same[models] = sharing(e, engines)
		}
		f.sharing[e.name] = same[models]
	}
	for _, t := range f.Targets() {
		f.working[t.service] = append(f.working[t.service], t)
	}
}

func sharing(e Engine, engines []Engine) []Engine {
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
