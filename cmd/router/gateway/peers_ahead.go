package gateway

import (
	"cmp"
	"math/rand/v2"
)

// mostAhead returns a peer that was heard of lately and has something newer. If there
// are newer routing tables, it is any of those with the newest one, so that not everyone
// asks the same; otherwise any of those with the newest registry.
func (p *peers) mostAhead(current versions) (peerVersions, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := p.clock.Now().Add(-p.ttl())
	var best []peerVersions
	for name, reported := range p.versions {
		if !current.behind(reported) || !p.known[name].lastSeen.After(since) {
			continue
		}
		switch order := compareAhead(current, reported, best); {
		case order > 0:
			best = []peerVersions{reported}
		case order == 0:
			best = append(best, reported)
		}
	}
	if len(best) == 0 {
		return peerVersions{}, false
	}
	return best[rand.IntN(len(best))], true
}

// compareAhead compares what a peer has with the best ones so far; the registries count
// only where no peer has a newer routing table.
func compareAhead(current versions, reported peerVersions, best []peerVersions) int {
	if len(best) == 0 {
		return 1
	}
	if order := cmp.Compare(reported.table, best[0].table); order != 0 || reported.table > current.table {
		return order
	}
	return reported.registry.Compare(best[0].registry)
}
