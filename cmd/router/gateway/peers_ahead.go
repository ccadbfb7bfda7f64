package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// peerAhead is a peer that has something newer than this router.
type peerAhead struct {
	name string
	peerVersions
}

// ahead returns the peers that were heard of lately and have something newer, the best first: those
// with the newest routing table, if it is newer, and then those with the newest registry. Those that
// are alike are in random order, so that not everyone asks the same.
func (p *peers) ahead(current versions) []peerAhead {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := p.clock.Now().Add(-p.ttl())
	var out []peerAhead
	for name, reported := range p.versions {
		if current.behind(reported) && p.known[name].lastSeen.After(since) {
			out = append(out, peerAhead{name: name, peerVersions: reported})
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b peerAhead) int { return compareAhead(current, a.peerVersions, b.peerVersions) })
	return out
}

// compareAhead orders what peers have. The registries count only where neither has a newer routing
// table.
func compareAhead(current versions, a, b peerVersions) int {
	if order := cmp.Compare(max(b.table, current.table), max(a.table, current.table)); order != 0 || a.table > current.table {
		return order
	}
	return b.registry.Compare(a.registry)
}
