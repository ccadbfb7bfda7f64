package gateway

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/share"
)

// TestShareHasRoom guards against routers that don't learn from each other which tokens requests
// need and what workspaces use, and against taking what an older build doesn't state for nothing.
func TestShareHasRoom(t *testing.T) {
	const service = share.Key(7)
	sender, receiver := newTestRouter(t), newTestRouter(t)
	now := sender.g.clock.Now()
	sender.g.loads.AddLoad(1, fitting.NewLoad(2, 500).WithKVTokens(3000))
	require.Empty(t, sender.g.buildShare(nil, now).Usage, "nothing is refused")
	sender.g.overloads.Rejected("s", now)
	sender.g.usage.Record(5, service, 30, now)
	sender.g.usage.Record(6, service, 3, now)
	message, err := proto.Marshal(sender.g.buildShare(sender.g.loads.Own(), now))
	require.NoError(t, err)
	var received peer.Share
	require.NoError(t, proto.Unmarshal(message, &received))
	received.Loads = append(received.Loads, &peer.TargetLoad{Target: 2, Requests: 4})
	receiver.g.handleShare(&received, netip.MustParseAddrPort("10.0.0.9:1"))
	loads := receiver.g.loads.Loads([]fitting.Key{1, 2}, receiver.g.clock.Now().Add(-shareInterval))
	require.Equal(t, fitting.NewLoad(2, 500).WithKVTokens(3000), loads[0])
	require.Equal(t, fitting.NewLoad(4, 0), loads[1], "an older build")
	later := receiver.g.clock.Now()
	require.Greater(t, receiver.g.usage.Overuse(5, service, later), 2*receiver.g.usage.Overuse(6, service, later))
}

// TestRoomIsReturned guards against loads that stay after requests have ended, which would make
// engines seem full.
func TestRoomIsReturned(t *testing.T) {
	table := fitting.NewLoadTable()
	room := newNeededRoom(fitting.Request{Work: fitting.NewWork("m", nil, 1000, 100), Slots: 64, KVCapacity: 1000}, fitting.Candidate{})
	require.Equal(t, 1100, room.load.KVTokens())
	table.AddLoad(1, room.load.Plus(fitting.NewLoad(0, 1000)))
	table.Add(1, 0, -1000)
	table.AddLoad(1, room.load.Negative())
	require.Empty(t, table.Own())
}
