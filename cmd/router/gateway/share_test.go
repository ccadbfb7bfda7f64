package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"vanillalug.example/defect"
	"vanillalug.example/fitting"
	"vanillalug.example/quota"
	"vanillalug.example/schedule"
	"vanillalug.example/share"
)

// TestShareFitsDatagram checks that a peer can read the largest share of a router with
// many requests in flight: one that is cut off can't be decoded at all.
func TestShareFitsDatagram(t *testing.T) {
	const targetsInUse = 170 // of a router that carries 22.7 requests a second, docs/CAPACITY.md
	tr := newTestRouter(t)
	now := tr.g.clock.Now()
	for i := range uint64(targetsInUse) {
		tr.g.loads.AddLoad(fitting.Key(hashOf(name("t", int(i)))), fitting.NewLoad(1, 10000).WithKVTokens(500000))
		tr.g.usage.Record(share.Key(i), share.Key(1), 1, now)
		tr.g.overloads.Rejected("s", now)
		tr.g.limits.Observe(quota.TargetKey(hashOf(name("t", int(i)))), quota.NewLimit(1.25), now)
		tr.g.peers.queuePlacement(fitting.Placement{Prompt: hashOf(name("p", int(i))), Target: fitting.Key(hashOf(name("t", int(i))))}, now)
	}
	for i := range 2 * defect.MaxReports {
		for target := range 20 {
			subject := []defect.Subject{defect.Request(hashOf(name("r", i)))}
			tr.g.defects.RecordCrash(subject, defect.TargetKey(hashOf(name("t", target))), now.Add(-time.Minute), now.Add(time.Duration(target)*time.Millisecond))
		}
	}
	message, err := proto.Marshal(tr.g.buildShare(tr.g.loads.Own(), now.Add(time.Second)))
	require.NoError(t, err)
	require.Less(t, len(message), maxDatagram)
	require.Greater(t, len(message), maxDatagram/2, "the share has all of its kinds of content")
}

// TestNewVersionsAreSentToEveryone guards against bytes that grow with the square of the routers, as each
// sends news of the registry on to all, and against a routing table, or news read from the store, waiting for its turn.
func TestNewVersionsAreSentToEveryone(t *testing.T) {
	tests := map[string]struct {
		followsStore bool
		next         versions
		want         int
	}{
		"registry, from the store": {true, versions{table: 1, registryDigest: 2}, changeRepeats},
		"registry, from a peer":    {false, versions{table: 1, registryDigest: 2}, 0},
		"table, from the store":    {true, versions{table: 2, registryDigest: 1}, changeRepeats},
		"table, from a peer":       {false, versions{table: 2, registryDigest: 1}, changeRepeats},
		"nothing new":              {true, versions{table: 1, registryDigest: 1}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPeers(schedule.NewSystem())
			for range changeRepeats {
				p.shareDue(true, true, versions{table: 1, registryDigest: 1})
			}
			sent := 0
			for range 2 * changeRepeats {
				due, everyone := p.shareDue(true, tt.followsStore, tt.next)
				require.True(t, due)
				if everyone {
					sent++
				}
			}
			require.Equal(t, tt.want, sent)
		})
	}
}

// TestObservationsAreSentOnce guards against a change that goes to every peer several times having the
// same observations each time.
func TestObservationsAreSentOnce(t *testing.T) {
	p := newPeers(schedule.NewSystem())
	for i := range 131 {
		p.known[name("r", i)] = &peerRouter{}
	}
	require.Equal(t, p.cycle(), p.observationsTime(time.Now()), "nothing was sent yet")
	p.nextGroup(true)
	require.Less(t, p.observationsTime(p.sentToAll.Add(shareInterval)), 2*shareInterval)
	require.Equal(t, p.cycle(), p.observationsTime(p.sentToAll.Add(time.Minute)))
}
