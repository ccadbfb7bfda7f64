package detour

import "slices"

// Peer is another router through which requests may go.
type Peer struct {
	Name string
	// Unreachable are the services whose targets it does not reach either.
	Unreachable []string
}

// Choose returns the name of a peer through which a request to the service may go, at random,
// so that the load is spread; or false if none is left. tried are those that the request was at.
func Choose(service string, peers []Peer, tried map[string]bool, random uint64) (name string, ok bool) {
	var names []string
	for _, p := range peers {
		if !tried[p.Name] && !slices.Contains(p.Unreachable, service) {
			names = append(names, p.Name)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	slices.Sort(names)
	return names[random%uint64(len(names))], true
}
