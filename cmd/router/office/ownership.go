package office

import (
	"slices"
	"sync"
	"sync/atomic"

	"vanillalug.example/dispatch"
	"vanillalug.example/peer"
	"vanillalug.example/roster"
)

// ownership is who admits for which target, worked out once for each change of
// the members or of the fleet document.
type ownership struct {
	mu      sync.Mutex
	current atomic.Pointer[owners]
}

// owners is one state of the ownership. It never changes.
type owners struct {
	routers   []string
	addresses map[string]string
	byTarget  map[string]string
	index     *peer.TargetIndex
}

// of returns the router that admits for a target.
func (s *owners) of(target string) string {
	if owner, ok := s.byTarget[target]; ok {
		return owner
	}
	return dispatch.Owner(target, s.routers)
}

// without returns the router that admits for a target, some routers left out.
func (s *owners) without(target string, avoid map[string]bool) string {
	if len(avoid) == 0 {
		return s.of(target)
	}
	routers := slices.DeleteFunc(slices.Clone(s.routers), func(r string) bool { return avoid[r] })
	return dispatch.Owner(target, routers)
}

// refreshOwners works the ownership out again.
func (o *Router) refreshOwners() {
	o.ownership.mu.Lock()
	defer o.ownership.mu.Unlock()
	s := &owners{addresses: map[string]string{}, byTarget: map[string]string{}}
	for _, m := range o.roster.Members() {
		if m.State() == roster.Alive || m.State() == roster.Suspect {
			s.routers = append(s.routers, m.Name())
			s.addresses[m.Name()] = m.Address()
		}
	}
	head, f := o.register.Active()
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
	o.ownership.current.Store(s)
}

// owners returns the ownership as this router sees the fleet.
func (o *Router) owners() *owners { return o.ownership.current.Load() }

// owns reports whether this router admits for the target.
func (o *Router) owns(target string) bool { return o.owners().of(target) == o.name }
