package office

import (
	"slices"
	"sync"
	"sync/atomic"

	"vanillalug.example/dispatch"
	"vanillalug.example/peer"
	"vanillalug.example/roster"
)

// ownership holds which router admits for which target. It is recomputed on each
// change of the members or of the fleet document.
type ownership struct {
	mu      sync.Mutex
	current atomic.Pointer[owners]
}

// owners is an immutable snapshot of the ownership.
type owners struct {
	routers   []string
	addresses map[string]string
	byTarget  map[string]string
	index     *peer.TargetIndex
}

// owner returns the router that admits for a target.
func (s *owners) owner(target string) string {
	if owner, ok := s.byTarget[target]; ok {
		return owner
	}
	return dispatch.Owner(target, s.routers)
}

// ownerExcluding returns the router that admits for a target when some routers are
// excluded.
func (s *owners) ownerExcluding(target string, excluded map[string]bool) string {
	if len(excluded) == 0 {
		return s.owner(target)
	}
	routers := slices.DeleteFunc(slices.Clone(s.routers), func(r string) bool { return excluded[r] })
	return dispatch.Owner(target, routers)
}

// refreshOwners recomputes the ownership.
func (r *Router) refreshOwners() {
	r.ownership.mu.Lock()
	defer r.ownership.mu.Unlock()
	s := &owners{addresses: map[string]string{}, byTarget: map[string]string{}}
	for _, m := range r.roster.Members() {
		if m.State() == roster.Alive || m.State() == roster.Suspect {
			s.routers = append(s.routers, m.Name())
			s.addresses[m.Name()] = m.Address()
		}
	}
	head, f := r.register.Active()
	var targets []string
	if f != nil {
		for _, e := range f.Engines() {
			targets = append(targets, e.Name())
		}
		for _, t := range f.Targets() {
			targets = append(targets, t.Name())
		}
	}
	for _, t := range targets {
		s.byTarget[t] = dispatch.Owner(t, s.routers)
	}
	s.index = peer.NewTargetIndex(head.Version(), targets)
	r.ownership.current.Store(s)
}

// owners returns the current snapshot of the ownership.
func (r *Router) owners() *owners { return r.ownership.current.Load() }

// owns reports whether this router admits for the target.
func (r *Router) owns(target string) bool { return r.owners().owner(target) == r.name }
