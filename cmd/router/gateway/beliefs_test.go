package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
)

func (s *station) version() uint64 {
	if p := s.g.plan.Load(); p != nil {
		return p.plan.Version()
	}
	return 0
}

func (s *station) publish(version int) {
	s.store.PutJSON("op", "config", platformtest.Plan(version, []string{testKey}, routes()...))
}

func TestVersionsNeverRegress(t *testing.T) {
	s := newStation(t)
	s.add(plain, "p1")
	s.ready(1)
	s.publish(5)
	require.Eventually(t, func() bool { return s.version() == 5 }, soon, tick)
	s.publish(3)
	time.Sleep(3 * feedPause)
	require.Equal(t, uint64(5), s.version())
	s.publish(6)
	require.Eventually(t, func() bool { return s.version() == 6 }, soon, tick)
	s.store.Put("op", "config", []byte("not a table"))
	s.publish(7)
	require.Eventually(t, func() bool { return s.version() == 7 }, soon, tick)
}

// TestStoreFaults: after each fault of the store the router is up to date
// within the two seconds that the rules leave.
func TestStoreFaults(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.Unavailable, platformtest.Reset, platformtest.Unresponsive} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			s := newStation(t)
			targets := s.add(plain, "p1")
			s.ready(1)
			s.store.SetFault(fault)
			time.Sleep(4 * time.Second)
			require.Equal(t, 200, s.post("/once/x", "id", "y").status, "served while the store is away")
			s.store.SetFault(platformtest.NoFault)
			time.Sleep(time.Second)
			s.publish(2)
			s.store.PutJSON("servers", "p1", targets[0].Entry("draining"))
			require.Eventually(t, func() bool {
				return s.version() == 2 && len(s.g.targets.Load().byLifetime) == 0
			}, 4*time.Second, tick)
		})
	}
}

func TestHistoryGone(t *testing.T) {
	s := newStation(t)
	s.add(plain, "p1")
	s.ready(1)
	s.store.SetFault(platformtest.Unavailable)
	s.publish(2)
	s.add(plain, "p2")
	s.store.Compact()
	s.store.SetFault(platformtest.NoFault)
	s.ready(2)
	require.Eventually(t, func() bool { return s.version() == 2 }, soon, tick)
}

// TestLongRegistry: a registry of so many pages that it takes longer to read
// than one call may is read once, page by page, also where some pages fail.
func TestLongRegistry(t *testing.T) {
	const targets, page, delay = 30, 5, 350 * time.Millisecond
	store := platformtest.NewStore()
	store.PutJSON("op", "config", platformtest.Plan(1, []string{testKey}, routes()...))
	for i := range targets {
		id := name("p", i)
		store.PutJSON("servers", id, map[string]any{
			"service": plain, "address": "127.0.0.1:1", "zone": "a", "slots": 6, "state": "ready", "sequence": 1, "born": 1,
		})
	}
	store.SetPages(platformtest.Pages{Rows: page, Delay: delay})
	s := newStationAt(t, store, "r1")
	s.ready(targets)
}

func TestEntriesThatNameNoTarget(t *testing.T) {
	s := newStation(t)
	s.add(plain, "p1")
	entries := map[string]any{
		"no address":     map[string]any{"service": plain, "zone": "a", "slots": 6, "state": "ready", "sequence": 1},
		"wrong type":     map[string]any{"service": plain, "address": "127.0.0.1:1", "zone": "a", "slots": "6", "state": "ready", "sequence": 1},
		"unknown state":  map[string]any{"service": plain, "address": "127.0.0.1:1", "zone": "a", "slots": 6, "state": "gone", "sequence": 1},
		"born is broken": map[string]any{"service": plain, "address": "127.0.0.1:1", "zone": "a", "slots": 6, "state": "ready", "sequence": 1, "born": 1.5},
		"no object":      []int{1},
	}
	for key, value := range entries {
		s.store.PutJSON("servers", key, value)
	}
	s.store.Put("servers", "no json", []byte{0xff})
	s.add(plain, "p2")
	s.ready(2)
}

// TestPeersTell: a router that the store turns away hears versions and leaving
// targets from a peer, and one that starts then hears all from a seed.
func TestPeersTell(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.PutJSON("op", "config", platformtest.Plan(1, []string{testKey}, routes()...))
	a := newStationAt(t, store, "a")
	targets := a.add(plain, "p1", "p2")
	a.ready(2)

	away := platformtest.NewStore()
	away.SetFault(platformtest.Unavailable)
	seed := netip.MustParseAddrPort(a.g.cfg.PeerAddress)
	b := newStationAt(t, away, "b", seed)
	b.ready(2)
	require.Equal(t, uint64(1), b.version())
	require.True(t, b.g.Ready())

	a.publish(9)
	store.PutJSON("servers", "p1", targets[0].Entry("draining"))
	require.Eventually(t, func() bool {
		return b.version() == 9 && len(b.g.targets.Load().byLifetime) == 1
	}, 2*time.Second, tick, "the bound for a leaving target")
}

// TestRecall: a router that starts beside others learns from one of them which
// engines hold which prompts.
func TestRecall(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.PutJSON("op", "config", platformtest.Plan(1, []string{testKey}, routes()...))
	a := newStationAt(t, store, "a")
	a.add(prompts, "e1")
	a.ready(1)
	holder := fitting.KeyOf("e1/1")
	a.g.memory.Record(fitting.Placement{Prompt: 7, Target: holder}, time.Now())
	a.g.settled.Store(true)
	b := newStationAt(t, store, "b", netip.MustParseAddrPort(a.g.cfg.PeerAddress))
	require.Eventually(t, func() bool {
		return b.g.memory.Cached(7, []fitting.Key{holder}, time.Now())[0]
	}, soon, tick)
	require.Contains(t, b.lines.String(), `"@message":"placements recalled"`)
}

// TestEnginesAreAsked: where all routers were restarted, a seed asks the engines
// what they have cached, and tells the others.
func TestEnginesAreAsked(t *testing.T) {
	const part = 0xa1
	store := platformtest.NewStore()
	defer store.Close()
	store.PutJSON("op", "config", platformtest.Plan(1, []string{testKey}, routes()...))
	a := newStationAt(t, store, "a")
	seed := netip.MustParseAddrPort(a.g.cfg.PeerAddress)
	a.g.SetSeeds([]netip.AddrPort{seed})
	b := newStationAt(t, store, "b", seed)
	engine := a.add(prompts, "e1")[0]
	engine.AddCachedPart("m", part, 1000)
	engine.AddCachedPart("m", 0xa2, minCached-1)
	for _, s := range []*station{a, b} {
		require.Eventually(t, func() bool {
			return s.g.memory.Cached(fitting.PromptKey("m", part), []fitting.Key{fitting.KeyOf("e1/1")}, time.Now())[0]
		}, soon, tick)
	}
	require.Len(t, b.g.memory.Newest(maxRecalled, time.Now()), 1, "short parts are not worth it")
	require.Equal(t, 1, engine.CacheListCalls(), "only the seed asks")
}

// TestPeersTellChanges: a peer that is a little behind is told what changed, and
// one whose beliefs are not known is told of every target.
func TestPeersTellChanges(t *testing.T) {
	s := newStation(t)
	targets := s.add(plain, "p1", "p2", "p3")
	s.ready(3)
	before := s.g.known()
	s.store.PutJSON("servers", "p1", targets[0].Entry("draining"))
	s.store.Delete("servers", "p2")
	s.ready(1)
	ask := func(digest uint64) *peer.GetBeliefsReply {
		reply, err := s.g.GetBeliefs(context.Background(), &peer.GetBeliefsRequest{
			PlanVersion: 1, RegistryRevision: before.revision, RegistryDigest: digest,
		})
		require.NoError(t, err)
		return reply
	}
	reply := ask(before.digest)
	require.True(t, reply.Partial)
	require.Len(t, reply.Changes, 2)
	require.Empty(t, reply.Targets)
	reply = ask(before.digest + 1)
	require.False(t, reply.Partial)
	require.Len(t, reply.Targets, 2, "the one that leaves is there still")
}

// TestLogTellsWhatChanged: each change of a belief leaves a line.
func TestLogTellsWhatChanged(t *testing.T) {
	s := newStation(t)
	targets := s.add(plain, "p1")
	s.ready(1)
	s.store.PutJSON("servers", "p1", targets[0].Entry("draining"))
	require.Eventually(t, func() bool { return len(s.g.targets.Load().byLifetime) == 0 }, soon, tick)
	for _, want := range []string{
		`"@message":"routing table in force"`,
		`"@message":"target joined"`,
		`"@message":"target left"`,
		`"reason":"leaving"`,
	} {
		require.Contains(t, s.lines.String(), want)
	}
	w := s.post("/once/x", "lost", "y")
	require.Equal(t, 503, w.status)
	require.Contains(t, s.lines.String(), fmt.Sprintf(`"request":%q`, "lost"))
	require.Contains(t, s.lines.String(), `"outcome":"no target"`)
}
