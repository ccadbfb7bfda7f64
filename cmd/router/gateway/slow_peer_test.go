package gateway

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// slowPeerPause is the time between two bytes of a slow peer's reply.
const slowPeerPause = 300 * time.Millisecond

// slowPeer returns the address of a peer that accepts calls, and sends the head of a reply and then
// a byte now and then; a frozen one sends nothing.
func slowPeer(t *testing.T, frozen bool) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			if !frozen {
				go replySlowly(c)
			}
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func replySlowly(c net.Conn) {
	_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 100000\r\n\r\n"))
	for err == nil {
		time.Sleep(slowPeerPause)
		_, err = c.Write([]byte{0})
	}
}

// TestSlowPeersDoNotDelayTable guards against a router that waits for one peer while others, or the
// store, have the new routing table: it used the old one for as long as the peer took.
func TestSlowPeersDoNotDelayTable(t *testing.T) {
	tests := map[string]struct {
		frozen, slow int
		// away says that the store rejects the router, so that a sound peer must be found.
		away bool
	}{
		"a slow peer":                             {slow: 1},
		"frozen peers":                            {frozen: 3},
		"slow and frozen peers, store is away":    {slow: 2, frozen: 2, away: true},
		"many frozen peers, store is away":        {frozen: 9, away: true},
		"slow and frozen peers, store is present": {slow: 4, frozen: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireTableDespite(t, tt.frozen, tt.slow, tt.away)
		})
	}
}

// requireTableDespite checks that a router which doesn't follow the store has a new table in time,
// although peers that report it are frozen or slow. If the store is away, one peer is sound.
func requireTableDespite(t *testing.T, frozen, slow int, away bool) {
	tr := newTestRouter(t)
	tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	stopFollowing(tr)
	var ahead []netip.AddrPort
	for range frozen {
		ahead = append(ahead, slowPeer(t, true))
	}
	for range slow {
		ahead = append(ahead, slowPeer(t, false))
	}
	if away {
		sound := newTestRouterAt(t, tr.store, "sound")
		sound.waitReady(1)
		publishLarge(tr.store, 2)
		require.Eventually(t, func() bool { return sound.tableVersion() == 2 }, waitTimeout, pollInterval)
		ahead = append(ahead, netip.MustParseAddrPort(sound.g.cfg.PeerAddress))
		tr.store.SetFault(platformtest.Unavailable)
	} else {
		publishLarge(tr.store, 2)
	}
	hear := func(time.Time) {
		for i, address := range ahead {
			tr.g.peers.update(name("holder", i), peerVersions{address: address, table: 2, following: true})
		}
		tr.g.requestCatchUp()
	}
	hear(time.Time{})
	t.Cleanup(tr.g.clock.Every(shareInterval, hear))
	require.Eventually(t, func() bool { return tr.tableVersion() == 2 }, applyTimeout, pollInterval)
}

// TestSlowSeedDoesNotDelayStart guards against a router that the store rejects and that isn't ready
// although a sound seed has replied, as it waits for the reply of another one.
func TestSlowSeedDoesNotDelayStart(t *testing.T) {
	for name, frozen := range map[string]bool{"slow": false, "frozen": true} {
		t.Run(name, func(t *testing.T) {
			sound := newTestRouter(t)
			sound.addTargets(plainService, "p1")
			sound.waitReady(1)
			unavailable := platformtest.NewStore()
			unavailable.SetFault(platformtest.Unavailable)
			tr := newTestRouterAt(t, unavailable, "b", slowPeer(t, frozen), netip.MustParseAddrPort(sound.g.cfg.PeerAddress))
			require.Eventually(t, tr.g.Ready, applyTimeout, pollInterval)
		})
	}
}
