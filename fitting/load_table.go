package fitting

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an incarnation of a target in the messages between routers.
type Key uint64

// KeyOf returns the key of an incarnation, the xxHash of its name.
func KeyOf(incarnation string) Key { return Key(xxhash.Sum64String(incarnation)) }

// LoadTable holds the load of each target: the exact load from this router, and
// the load that each peer reported last. It is safe for concurrent use.
type LoadTable struct {
	mu    sync.Mutex
	own   map[Key]Load
	peers map[string]peerReport
	// peerSums are the loads of all peers, added up by target.
	peerSums map[Key]Load
	// oldestReport is not later than any peer's report.
	oldestReport time.Time
}

type peerReport struct {
	receivedAt time.Time
	loads      map[Key]Load
}

// NewLoadTable returns an empty LoadTable.
func NewLoadTable() *LoadTable {
	return &LoadTable{own: map[Key]Load{}, peers: map[string]peerReport{}, peerSums: map[Key]Load{}}
}

// Add adds to this router's own load of a target; negative numbers subtract.
func (t *LoadTable) Add(k Key, requests, prefillTokens int) {
	t.AddLoad(k, NewLoad(requests, prefillTokens))
}

// AddLoad adds to this router's own load of a target.
func (t *LoadTable) AddLoad(k Key, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addLoad(t.own, k, l)
}

func addLoad(loads map[Key]Load, k Key, l Load) {
	sum := loads[k].Plus(l)
	if sum == (Load{}) {
		delete(loads, k)
		return
	}
	loads[k] = sum
}

// SetPeer replaces the loads that a peer reported as its own.
func (t *LoadTable) SetPeer(peer string, loads map[Key]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) == 0 || now.Before(t.oldestReport) {
		t.oldestReport = now
	}
	t.removePeer(peer)
	t.peers[peer] = peerReport{receivedAt: now, loads: loads}
	for k, l := range loads {
		addLoad(t.peerSums, k, l)
	}
}

// removePeer removes the report of a peer.
func (t *LoadTable) removePeer(peer string) {
	for k, l := range t.peers[peer].loads {
		addLoad(t.peerSums, k, l.Negative())
	}
	delete(t.peers, peer)
}

// expireBefore removes the reports that were received before the time.
func (t *LoadTable) expireBefore(since time.Time) {
	if !t.oldestReport.Before(since) {
		return
	}
	t.oldestReport = time.Time{}
	for peer, report := range t.peers {
		if report.receivedAt.Before(since) {
			t.removePeer(peer)
			continue
		}
		if t.oldestReport.IsZero() || report.receivedAt.Before(t.oldestReport) {
			t.oldestReport = report.receivedAt
		}
	}
}

// Own returns this router's own load by target.
func (t *LoadTable) Own() map[Key]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[Key]Load, len(t.own))
	for k, l := range t.own {
		out[k] = l
	}
	return out
}

// OwnRequests returns the number of this router's own requests at each target.
func (t *LoadTable) OwnRequests(keys []Key) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]int, len(keys))
	for i, k := range keys {
		out[i] = t.own[k].requests
	}
	return out
}

// Loads returns the total load of each target. It removes the reports of peers
// that were received before since.
func (t *LoadTable) Loads(keys []Key, since time.Time) []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireBefore(since)
	out := make([]Load, len(keys))
	for i, k := range keys {
		out[i] = t.own[k].Plus(t.peerSums[k])
	}
	return out
}

// Peers returns how many peers have reported since the time. It removes older
// reports.
func (t *LoadTable) Peers(since time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireBefore(since)
	return len(t.peers)
}
