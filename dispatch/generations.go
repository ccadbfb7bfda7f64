package dispatch

import "vanillalug.example"

// generations is a map with bounded size. Records that were used since the
// last turn stay; the others go with the old generation.
type generations struct {
	limit   int
	young   map[vanillalug.ChatKey]uint16
	old     map[vanillalug.ChatKey]uint16
	numbers map[string]uint16
	names   []string
}

// newGenerations returns a map that holds between half the size and the size.
func newGenerations(size int) *generations {
	return &generations{
		limit:   max(1, size/2),
		young:   map[vanillalug.ChatKey]uint16{},
		numbers: map[string]uint16{},
	}
}

func (g *generations) get(c vanillalug.ChatKey) (string, bool) {
	n, ok := g.young[c]
	if ok {
		return g.names[n], true
	}
	n, ok = g.old[c]
	if !ok {
		return "", false
	}
	g.store(c, n)
	return g.names[n], true
}

func (g *generations) put(c vanillalug.ChatKey, engine string) {
	g.store(c, g.number(engine))
}

func (g *generations) store(c vanillalug.ChatKey, n uint16) {
	if _, ok := g.young[c]; !ok && len(g.young) >= g.limit {
		g.old = g.young
		g.young = make(map[vanillalug.ChatKey]uint16, g.limit)
	}
	g.young[c] = n
	delete(g.old, c)
}

func (g *generations) drop(c vanillalug.ChatKey) {
	delete(g.young, c)
	delete(g.old, c)
}

func (g *generations) dropEngine(engine string) {
	n, ok := g.numbers[engine]
	if !ok {
		return
	}
	for c, v := range g.young {
		if v == n {
			delete(g.young, c)
		}
	}
	for c, v := range g.old {
		if v == n {
			delete(g.old, c)
		}
	}
}

func (g *generations) elsewhere() map[vanillalug.ChatKey]string {
	out := map[vanillalug.ChatKey]string{}
	for _, m := range []map[vanillalug.ChatKey]uint16{g.old, g.young} {
		for c, n := range m {
			if g.names[n] != here {
				out[c] = g.names[n]
			}
		}
	}
	return out
}

func (g *generations) len() int { return len(g.young) + len(g.old) }

// number interns the name of an engine.
func (g *generations) number(engine string) uint16 {
	n, ok := g.numbers[engine]
	if !ok {
		n = uint16(len(g.names))
		g.numbers[engine] = n
		g.names = append(g.names, engine)
	}
	return n
}
