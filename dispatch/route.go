package dispatch

import "slices"

// maxHops is the number of hops after which a request isn't sent on: the last
// engine must queue or reject it.
const maxHops = 6

// Route is the sequence of engines that are tried for one request until one
// admits it. It is not safe for concurrent use.
type Route struct {
	ranked  []string
	failed  map[string]bool
	current Hop
	hops    int
}

// Hop is one engine to try. The flags are those of Lookup.
type Hop struct {
	engine      string
	home        string
	speculative bool
	canForward  bool
	noRedirect  bool
	last        bool
}

// Engine returns the engine to try.
func (h Hop) Engine() string { return h.engine }

// Home returns the engine whose index sent the chat here speculatively.
func (h Hop) Home() string { return h.home }

// Speculative reports whether the chat was redirected here by an index that had
// no entry for it.
func (h Hop) Speculative() bool { return h.speculative }

// CanForward reports whether one more speculative redirect is allowed.
func (h Hop) CanForward() bool { return h.canForward }

// NoRedirect reports whether the engine must serve the chat even if the prompt
// isn't cached there.
func (h Hop) NoRedirect() bool { return h.noRedirect }

// Last reports whether the request must not be redirected or spilled any more.
func (h Hop) Last() bool { return h.last }

// NewRoute returns a Route over the engines, which are in rendezvous order. The
// preferred engine, if it is among them, is tried first.
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

// Hop returns the engine to try now; ok is false when none is left.
func (r *Route) Hop() (h Hop, ok bool) {
	if r.current.engine == "" {
		return Hop{}, false
	}
	h = r.current
	h.last = r.hops >= maxHops-1
	h.canForward = r.hops < maxHops-2
	return h, true
}

// Next returns the next engine after the current one in rendezvous order that
// hasn't failed, or "".
func (r *Route) Next() string {
	for _, e := range r.after(r.current.engine) {
		if !r.failed[e] {
			return e
		}
	}
	return ""
}

// Alternatives returns the other engines that haven't failed, in rendezvous
// order.
func (r *Route) Alternatives() []string {
	var out []string
	for _, e := range r.ranked {
		if e != r.current.engine && !r.failed[e] {
			out = append(out, e)
		}
	}
	return out
}

// Follow moves the route to the engine of a redirect, or to the first engine
// that hasn't failed if that one has. A redirect back to the home engine is
// final: it must serve the chat.
func (r *Route) Follow(to Redirect) {
	r.hops++
	if r.failed[to.Engine] {
		r.current = Hop{engine: r.firstAvailable()}
		return
	}
	toHome := r.current.speculative && to.Engine == r.current.home
	home := r.current.engine
	if r.current.speculative {
		home = r.current.home
	}
	r.current = Hop{engine: to.Engine, home: home, speculative: to.Speculative, noRedirect: toHome}
}

// Spill moves the route to another engine that has capacity.
func (r *Route) Spill(engine string) {
	r.hops++
	r.current = Hop{engine: engine, noRedirect: true}
}

// Fail excludes the current engine, which doesn't accept the request.
func (r *Route) Fail() {
	r.hops++
	r.failed[r.current.engine] = true
	r.current = Hop{engine: r.firstAvailable()}
}

func (r *Route) firstAvailable() string {
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
