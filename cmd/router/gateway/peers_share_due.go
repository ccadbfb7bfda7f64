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
//
// A new version of the registry is sent to everyone only by the routers that follow the store:
// each of the others has it from one of them. If all sent it on, its bytes would grow with the square
// of their number. Every router does so with a routing table, as the routers that have it pass it on.
func (p *peers) shareDue(busy, followsStore bool, current versions) (due, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current.table != p.lastSent.table || current != p.lastSent && followsStore {
		p.repeatsLeft = changeRepeats
	}
	p.lastSent = current
	p.idleIntervals++
	changed = p.repeatsLeft > 0
	if !busy && !changed && p.idleIntervals < idleShareIntervals/p.groups() {
		return false, false
	}
	p.idleIntervals = 0
	p.repeatsLeft = max(p.repeatsLeft-1, 0)
	return true, changed
}
