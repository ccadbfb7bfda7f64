package gateway

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/schedule"
)

func peersOf(n int) (*peers, *schedule.Fake) {
	clock := schedule.NewFake(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
	p := newPeers(clock)
	found := map[string]netip.AddrPort{}
	for i := range n {
		found[name("r", i)] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	}
	p.add(found)
	return p, clock
}

// TestPeersAreToldInTurn: in fleets of any size a router sends a bounded number
// of datagrams, every peer is told within a cycle, and what a peer told is
// believed until it has had two turns.
func TestPeersAreToldInTurn(t *testing.T) {
	for _, n := range []int{1, 17, 112, 299, 409} {
		p, clock := peersOf(n)
		told := map[netip.AddrPort]bool{}
		for range p.groups() {
			now := p.next(false)
			require.LessOrEqual(t, len(now), 2*peersPerInterval)
			for _, a := range now {
				told[a] = true
			}
		}
		require.Len(t, told, n)
		require.Len(t, p.next(true), n, "news goes to all at once")
		cycle := shareInterval * time.Duration(p.groups())
		require.GreaterOrEqual(t, clock.Now().Sub(p.freshSince()), 2*cycle)
	}
}

// TestPlacementsAreBounded: a datagram never carries more placements than it
// has room for; the newest go first.
func TestPlacementsAreBounded(t *testing.T) {
	p, clock := peersOf(409)
	for i := range 2 * maxTold {
		p.place(fitting.Placement{Prompt: uint64(i)}, clock.Now())
	}
	got := p.recent(clock.Now())
	require.Len(t, got, maxTold)
	require.Equal(t, uint64(2*maxTold-1), got[maxTold-1].Prompt)
	clock.Advance(time.Minute)
	require.Empty(t, p.recent(clock.Now()))
}

// TestPeersReportFailures: a target at which several peers have failed gets no
// request, though this router has not failed there itself; where peers have
// failed at most of a service, all of it is used.
func TestPeersReportFailures(t *testing.T) {
	const requests, peers = 12, 3
	s := newStation(t)
	targets := s.add(plain, "p1", "p2")
	s.ready(2)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	report := func(keys ...uint64) {
		for i := range peers {
			s.g.hear(&peer.Share{From: name("peer", i), Failing: keys}, from)
		}
	}
	key := func(id string) uint64 { return uint64(fitting.KeyOf(id + "/1")) }
	report(key("p1"))
	for i := range requests {
		require.Equal(t, 200, s.post("/once/x", name("a", i), "y").status)
	}
	require.Empty(t, targets[0].Executions())
	require.Eventually(t, func() bool {
		return strings.Contains(s.lines.String(), `"@message":"target fails for many routers"`)
	}, soon, tick)
	report(key("p1"), key("p2"))
	for i := range 4 * requests {
		require.Equal(t, 200, s.post("/once/x", name("b", i), "y").status)
	}
	require.NotEmpty(t, targets[0].Executions())
}
