package dispatch

import "vanillalug.example"

// generationalMap maps chats to engines with bounded size. When the recent
// generation is full it replaces the old one, which evicts the entries that
// weren't used since the last replacement. Engine names are interned as 16-bit
// ids to keep entries small.
type generationalMap struct {
	limit  int
	recent map[vanillalug.ChatKey]uint16
	old    map[vanillalug.ChatKey]uint16
	ids    map[string]uint16
	names  []string
}

// newGenerationalMap returns a map that, once full, holds between size/2 and
// size entries.
func newGenerationalMap(size int) *generationalMap {
	return &generationalMap{
		limit:  max(1, size/2),
		recent: map[vanillalug.ChatKey]uint16{},
		ids:    map[string]uint16{},
	}
}

func (g *generationalMap) get(c vanillalug.ChatKey) (string, bool) {
	n, ok := g.recent[c]
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

func (g *generationalMap) put(c vanillalug.ChatKey, engine string) {
	g.store(c, g.engineID(engine))
}

func (g *generationalMap) store(c vanillalug.ChatKey, n uint16) {
	if _, ok := g.recent[c]; !ok && len(g.recent) >= g.limit {
		g.old = g.recent
		g.recent = make(map[vanillalug.ChatKey]uint16, g.limit)
	}
	g.recent[c] = n
	delete(g.old, c)
}

func (g *generationalMap) drop(c vanillalug.ChatKey) {
	delete(g.recent, c)
	delete(g.old, c)
}

func (g *generationalMap) dropEngine(engine string) {
	n, ok := g.ids[engine]
	if !ok {
		return
	}
	for c, v := range g.recent {
		if v == n {
			delete(g.recent, c)
		}
	}
	for c, v := range g.old {
		if v == n {
			delete(g.old, c)
		}
	}
}

func (g *generationalMap) redirects() map[vanillalug.ChatKey]string {
	out := map[vanillalug.ChatKey]string{}
	for _, m := range []map[vanillalug.ChatKey]uint16{g.old, g.recent} {
		for c, n := range m {
			if g.names[n] != local {
				out[c] = g.names[n]
			}
		}
	}
	return out
}

func (g *generationalMap) len() int { return len(g.recent) + len(g.old) }

// engineID returns the interned id of an engine name.
func (g *generationalMap) engineID(engine string) uint16 {
	n, ok := g.ids[engine]
	if !ok {
		n = uint16(len(g.names))
		g.ids[engine] = n
		g.names = append(g.names, engine)
	}
	return n
}
