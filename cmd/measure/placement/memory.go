package placement

import (
	"slices"

	"vanillalug.example"
	"vanillalug.example/dispatch"
)

// remembered returns the engine that a chat was last served by, or "".
func (f *fleet) remembered(r *request) string {
	switch f.c.memory.(type) {
	case CallerHint:
		return f.hint(r.chat)
	case RouterAffinity:
		f.addBytes("memory", lookupBytes)
		for _, holder := range f.holders(r) {
			if e, ok := holder.memory[r.chat]; ok {
				return e
			}
		}
	}
	return ""
}

// remember notes the engine that serves a chat.
func (f *fleet) remember(r *request, engine string) {
	switch f.c.memory.(type) {
	case CallerHint:
		f.setHint(r.chat, engine)
	case RouterAffinity:
		for _, holder := range f.holders(r) {
			if holder.memory[r.chat] != engine {
				f.addBytes("memory", lookupBytes)
				holder.memory[r.chat] = engine
			}
		}
	}
}

// holders returns the two routers that hold the memory of a chat, as the
// router that took the request sees the fleet.
func (f *fleet) holders(r *request) []*router {
	names := f.liveRouters(f.routers[r.router])
	var out []*router
	for range 2 {
		name := vanillalug.Best(r.chat, names)
		for _, holder := range f.routers {
			if holder.name == name {
				out = append(out, holder)
			}
		}
		names = slices.DeleteFunc(names, func(n string) bool { return n == name })
	}
	return out
}

func (f *fleet) liveRouters(r *router) []string {
	var out []string
	for _, other := range f.routers {
		if r.routers[other.name] {
			out = append(out, other.name)
		}
	}
	return out
}

func (f *fleet) owner(r *router, engine string) string {
	return dispatch.Owner(engine, f.liveRouters(r))
}
