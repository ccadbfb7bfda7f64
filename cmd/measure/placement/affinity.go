package placement

import (
	"slices"

	"vanillalug.example"
	"vanillalug.example/dispatch"
)

// lastEngine returns the engine that last served a chat, or "" if none is
// recorded.
func (f *fleet) lastEngine(r *request) string {
	switch f.c.affinity.(type) {
	case CallerHint:
		return f.hint(r.chat)
	case RouterAffinity:
		f.addBytes("memory", lookupBytes)
		for _, replica := range f.affinityReplicas(r) {
			if e, ok := replica.lastEngines[r.chat]; ok {
				return e
			}
		}
	}
	return ""
}

// recordEngine records the engine that serves a chat.
func (f *fleet) recordEngine(r *request, engine string) {
	switch f.c.affinity.(type) {
	case CallerHint:
		f.setHint(r.chat, engine)
	case RouterAffinity:
		for _, replica := range f.affinityReplicas(r) {
			if replica.lastEngines[r.chat] != engine {
				f.addBytes("memory", lookupBytes)
				replica.lastEngines[r.chat] = engine
			}
		}
	}
}

// affinityReplicas returns the two routers that store the last engine of a chat,
// in the view of the router that received the request.
func (f *fleet) affinityReplicas(r *request) []*router {
	names := f.liveRouters(f.routers[r.router])
	var out []*router
	for range 2 {
		name := vanillalug.Best(r.chat, names)
		for _, replica := range f.routers {
			if replica.name == name {
				out = append(out, replica)
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
