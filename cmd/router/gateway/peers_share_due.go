package gateway

// announce makes the next datagrams go to every peer.
func (p *peers) announce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeatsLeft = changeRepeats
}

// shareDue reports whether a datagram is due, and whether the versions have
// changed, so that everyone must get it. Without requests in flight and changes
// some intervals are skipped.
func (p *peers) shareDue(busy bool, current versions) (due, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current != p.lastSent {
		p.lastSent = current
		p.repeatsLeft = changeRepeats
	}
	p.idleIntervals++
	changed = p.repeatsLeft > 0
	if !busy && !changed && p.idleIntervals < idleShareIntervals/p.groups() {
		return false, false
	}
	p.idleIntervals = 0
	p.repeatsLeft = max(p.repeatsLeft-1, 0)
	return true, changed
}
