package office

import "sync"

// relayTable holds the relays in flight to each peer, so that they are canceled when
// the peer is found to be gone.
type relayTable struct {
	mu    sync.Mutex
	peers map[string]map[*openRelay]bool
}

type openRelay struct {
	cancel   func()
	peerGone bool
}

// add adds a relay. Gone reports whether it was canceled because the peer is gone;
// end removes it.
func (t *relayTable) add(peer string, cancel func()) (gone func() bool, end func()) {
	r := &openRelay{cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[string]map[*openRelay]bool{}
	}
	if t.peers[peer] == nil {
		t.peers[peer] = map[*openRelay]bool{}
	}
	t.peers[peer][r] = true
	gone = func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return r.peerGone
	}
	end = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.peers[peer], r)
	}
	return gone, end
}

// cancelAll cancels the relays to a peer that is gone.
func (t *relayTable) cancelAll(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.peers[peer] {
		r.peerGone = true
		r.cancel()
	}
}
