package gateway

import "net/netip"

// permitIssuers returns the peers that were seen within ttl and issue permits.
func (p *peers) permitIssuers() map[string]netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := p.clock.Now().Add(-p.ttl())
	out := make(map[string]netip.AddrPort, len(p.known))
	for name, r := range p.known {
		if r.issuesPermits && r.lastSeen.After(since) {
			out[name] = r.address
		}
	}
	return out
}
