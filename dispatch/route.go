package dispatch

import "slices"

// maxHops is the number of admitting routers that are asked for one request.
// The last one must queue the request or refuse it.
const maxHops = 6

// Route is the way of one request from engine to engine until one admits it.
// It belongs to one request and is not safe for concurrent use.
type Route struct {
	ranked  []string
	failed  map[string]bool
	current Hop
	hops    int
}

// Hop is one engine to ask. The flags are those of Asked.
type Hop struct {
	engine    string
	home      string
	inherited bool
	deeper    bool
	final     bool
	last      bool
}

// Engine returns the engine to ask.
func (h Hop) Engine() string { return h.engine }

// Home returns the engine that sent an inherited chat here.
func (h Hop) Home() string { return h.home }

// Speculative reports whether a keeper sent the chat here without knowing it.
func (h Hop) Speculative() bool { return h.inherited }

// CanForward reports whether the engine after this one may be asked too.
func (h Hop) CanForward() bool { return h.deeper }

// NoRedirect reports whether the chat is to be served here even if unknown.
func (h Hop) NoRedirect() bool { return h.final }

// Last reports whether the request must not be sent to yet another engine.
func (h Hop) Last() bool { return h.last }

// NewRoute returns the way over the engines in rendezvous order. A preferred
// engine, when it is among them, is asked first.
func NewRoute(ranked []string, preferred string) *Route {
	r := &Route{ranked: ranked, failed: map[string]bool{}}
	if len(ranked) == 0 {
		return r
	}
	r.current = Hop{engine: ranked[0]}
	if slices.Contains(ranked, preferred) {
		r.current = Hop{engine: preferred}
	}
	return r
}

// Hop returns the engine to ask now; ok is false when none is left.
func (r *Route) Hop() (h Hop, ok bool) {
	if r.current.engine == "" {
		return Hop{}, false
	}
	h = r.current
	h.last = r.hops >= maxHops-1
	h.deeper = r.hops < maxHops-2
	return h, true
}

// Next returns the engine after the current one in rendezvous order, or "".
func (r *Route) Next() string {
	for _, e := range r.after(r.current.engine) {
		if !r.failed[e] {
			return e
		}
	}
	return ""
}

// Alternatives returns the other engines in rendezvous order.
func (r *Route) Alternatives() []string {
	var out []string
	for _, e := range r.ranked {
		if e != r.current.engine && !r.failed[e] {
			out = append(out, e)
		}
	}
	return out
}

// Follow goes where a keeper says that the chat is cached.
func (r *Route) Follow(at Redirect) {
	r.hops++
	if r.failed[at.Engine] {
		r.current = Hop{engine: r.firstLeft()}
		return
	}
	back := r.current.inherited && at.Engine == r.current.home
	home := r.current.engine
	if r.current.inherited {
		home = r.current.home
	}
	r.current = Hop{engine: at.Engine, home: home, inherited: at.Speculative, final: back}
}

// Spill goes to another engine that has room.
func (r *Route) Spill(engine string) {
	r.hops++
	r.current = Hop{engine: engine, final: true}
}

// Fail leaves out the current engine, which takes no new work.
func (r *Route) Fail() {
	r.hops++
	r.failed[r.current.engine] = true
	r.current = Hop{engine: r.firstLeft()}
}

func (r *Route) firstLeft() string {
	for _, e := range r.ranked {
		if !r.failed[e] {
			return e
		}
	}
	return ""
}

func (r *Route) after(engine string) []string {
	i := slices.Index(r.ranked, engine)
	return r.ranked[i+1:]
}
