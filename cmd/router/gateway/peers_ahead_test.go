package gateway

// mostAhead returns the peer that is asked first.
func (p *peers) mostAhead(current versions) (peerVersions, bool) {
	ahead := p.ahead(current)
	if len(ahead) == 0 {
		return peerVersions{}, false
	}
	return ahead[0].peerVersions, true
}
