package gateway

import (
	"time"

	"vanillalug.example"
)

// bestRouter returns the router that rendezvous hashing selects for a key, of those that were
// heard of lately and aren't shutting down, and its address; the address is invalid if it is
// this router.
func (g *Gateway) bestRouter(key uint64) (name, address string) {
	routers := g.peers.serving()
	names := make([]string, 0, len(routers)+1)
	for name := range routers {
		names = append(names, name)
	}
	if !g.draining.Load() || len(names) == 0 {
		names = append(names, g.cfg.Name)
	}
	name = vanillalug.Best(key, names)
	return name, routers[name].address.String()
}

// serving returns the peers that were seen within ttl and aren't shutting down.
func (p *peers) serving() map[string]peerRouter {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := p.clock.Now().Add(-p.ttl())
	out := make(map[string]peerRouter, len(p.known))
	for name, r := range p.known {
		if r.issuesPermits && r.lastSeen.After(since) {
			out[name] = *r
		}
	}
	return out
}

// reachable returns the peers that were seen, or heard of from others, within ttl; if there are
// none, all that are known.
func (p *peers) reachable() map[string]peerRouter {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := p.clock.Now().Add(-p.ttl())
	all := make(map[string]peerRouter, len(p.known))
	seen := make(map[string]peerRouter, len(p.known))
	for name, r := range p.known {
		all[name] = *r
		if r.lastSeen.After(since) {
			seen[name] = *r
		}
	}
	if len(seen) == 0 {
		return all
	}
	return seen
}

// issuersWithin returns the peers from which a datagram came within a time and that weren't shutting
// down then.
func (p *peers) issuersWithin(d time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := p.clock.Now().Add(-d)
	out := make([]string, 0, len(p.known))
	for name, r := range p.known {
		if r.issuesPermits && r.lastSeen.After(since) {
			out = append(out, name)
		}
	}
	return out
}

// heard returns from how many peers a datagram came within ttl, and how many there are. While none is
// known, the seeds count as such.
func (p *peers) heard() (heard, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := p.clock.Now().Add(-p.ttl())
	for name, r := range p.known {
		if _, sent := p.versions[name]; sent && r.lastSeen.After(since) {
			heard++
		}
	}
	if len(p.known) == 0 {
		return 0, len(p.seeds)
	}
	return heard, len(p.known)
}
