package gateway

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"vanillalug.example/fitting"
	"vanillalug.example/peer"
)

// maxDatagram is the largest datagram that is read, in bytes.
const maxDatagram = 8 << 10

// listenPeers opens the socket for datagrams.
func (g *Gateway) listenPeers(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", g.cfg.PeerAddress)
	if err != nil {
		return fmt.Errorf("Gateway.listenPeers: %w", err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return fmt.Errorf("Gateway.listenPeers: %w", err)
	}
	g.peers.conn = conn
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go g.hearPeers(ctx)
	return nil
}

// shareLoads tells peers this router's own work and what it knows.
func (g *Gateway) shareLoads(now time.Time) {
	own := g.board.Own()
	speak, news := g.peers.speak(len(own) > 0, g.known())
	if !speak {
		return
	}
	message, err := proto.Marshal(g.share(own, now))
	if err != nil {
		g.log.Error("cannot write the loads for peers", "error", err)
		return
	}
	for _, a := range g.peers.next(news) {
		if _, err := g.peers.conn.WriteToUDPAddrPort(message, a); err != nil {
			g.log.Debug("cannot tell a peer the loads", "peer", a.String(), "error", err)
		}
	}
}

func (g *Gateway) share(own map[fitting.Key]fitting.Load, now time.Time) *peer.Share {
	k := g.known()
	out := &peer.Share{
		From: g.cfg.Name, PlanVersion: k.version, RegistryRevision: k.revision, RegistryDigest: k.digest,
		Following: g.watchers.registry.fresh(),
		Loads:     make([]*peer.TargetLoad, 0, len(own)),
	}
	for key, l := range own {
		out.Loads = append(out.Loads, &peer.TargetLoad{
			Target: uint64(key), Requests: uint32(max(l.Requests(), 0)), Unread: uint32(max(l.PrefillTokens(), 0)),
		})
	}
	for _, k := range g.reports.Own(now) {
		out.Failing = append(out.Failing, uint64(k))
	}
	for _, p := range g.peers.recent(now) {
		out.Placements = append(out.Placements, &peer.Placement{Prompt: p.Prompt, Target: uint64(p.Target)})
	}
	return out
}

func (g *Gateway) hearPeers(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := g.peers.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Warn("cannot hear peers", "error", err)
				sleep(ctx, retryDelay)
			}
			continue
		}
		var s peer.Share
		if err := proto.Unmarshal(buffer[:n], &s); err != nil || s.From == "" {
			g.log.Warn("a peer's loads can't be read", "from", from.String(), "error", err)
			continue
		}
		g.hear(&s, from)
	}
}

func (g *Gateway) hear(s *peer.Share, from netip.AddrPort) {
	loads := make(map[fitting.Key]fitting.Load, len(s.Loads))
	for _, l := range s.Loads {
		loads[fitting.Key(l.Target)] = fitting.NewLoad(int(l.Requests), int(l.Unread))
	}
	now := g.clock.Now()
	g.board.SetPeer(s.From, loads, now)
	for _, p := range s.Placements {
		g.memory.RecordFromPeer(fitting.Placement{Prompt: p.Prompt, Target: fitting.Key(p.Target)}, now)
	}
	failing := make([]fitting.Key, len(s.Failing))
	for i, k := range s.Failing {
		failing[i] = fitting.Key(k)
	}
	g.reports.RecordFromPeer(s.From, failing, now)
	a := ahead{
		from: from, version: s.PlanVersion, revision: s.RegistryRevision, digest: s.RegistryDigest,
		following: s.Following,
	}
	g.peers.heard(s.From, a)
	if g.known().behind(a) {
		g.noticeBehind()
	}
}
