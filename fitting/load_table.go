package fitting

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names a lifetime of a target among routers.
type Key uint64

// KeyOf returns the key of a lifetime.
func KeyOf(lifetime string) Key { return Key(xxhash.Sum64String(lifetime)) }

// Board has the loads of all targets: this router's own, exactly, and those of
// its peers as they told them last. It is safe for concurrent use.
type LoadTable struct {
	mu    sync.Mutex
	own   map[Key]Load
	peers map[string]told
	// sums are the loads that all peers told together.
	sums map[Key]Load
	// oldest is not later than any peer's word.
	oldest time.Time
}

type told struct {
	at    time.Time
	loads map[Key]Load
}

// NewBoard returns a Board without any load.
func NewLoadTable() *LoadTable {
	return &LoadTable{own: map[Key]Load{}, peers: map[string]told{}, sums: map[Key]Load{}}
}

// Add counts own work at a target; negative numbers take it away.
func (b *LoadTable) Add(k Key, requests, unread int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addTo(b.own, k, NewLoad(requests, unread))
}

func addTo(loads map[Key]Load, k Key, l Load) {
	sum := loads[k].Plus(l)
	if sum == (Load{}) {
		delete(loads, k)
		return
	}
	loads[k] = sum
}

// Hear replaces what a peer told of its own work.
func (b *LoadTable) SetPeer(peer string, loads map[Key]Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.peers) == 0 || now.Before(b.oldest) {
		b.oldest = now
	}
	b.forget(peer)
	b.peers[peer] = told{at: now, loads: loads}
	for k, l := range loads {
		addTo(b.sums, k, l)
	}
}

// forget takes away what a peer told.
func (b *LoadTable) forget(peer string) {
	for k, l := range b.peers[peer].loads {
		addTo(b.sums, k, l.Negative())
	}
	delete(b.peers, peer)
}

// forgetBefore takes away what was told before the time.
func (b *LoadTable) forgetBefore(since time.Time) {
	if !b.oldest.Before(since) {
		return
	}
	b.oldest = time.Time{}
	for peer, t := range b.peers {
		if t.at.Before(since) {
			b.forget(peer)
			continue
		}
		if b.oldest.IsZero() || t.at.Before(b.oldest) {
			b.oldest = t.at
		}
	}
}

// Own returns this router's own work.
func (b *LoadTable) Own() map[Key]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[Key]Load, len(b.own))
	for k, l := range b.own {
		out[k] = l
	}
	return out
}

// Loads returns the loads of the targets, as far as they are known. What a peer
// told before the time since is forgotten.
func (b *LoadTable) Loads(keys []Key, since time.Time) []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetBefore(since)
	out := make([]Load, len(keys))
	for i, k := range keys {
		out[i] = b.own[k].Plus(b.sums[k])
	}
	return out
}

// Peers returns how many peers were heard since the time. What a peer told
// before it is forgotten.
func (b *LoadTable) Peers(since time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetBefore(since)
	return len(b.peers)
}
