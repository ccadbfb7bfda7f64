package gateway

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"vanillalug.example"
	"vanillalug.example/cmd/router/logbook"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
)

// maxDatagram is the largest datagram that is read, in bytes.
const maxDatagram = 16 << 10

// listenPeers opens the UDP socket for datagrams from peers.
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
	go g.receiveShares(ctx)
	return nil
}

// sendShare sends this router's loads and versions to the peers whose turn it is.
func (g *Gateway) sendShare(now time.Time) {
	own := g.loads.Own()
	due, changed := g.peers.shareDue(len(own) > 0, g.watchers.registry.fresh(), g.versions())
	if !due {
		return
	}
	message, err := proto.Marshal(g.buildShare(own, now))
	if err != nil {
		g.log.Error("cannot encode the share for peers", "error", err)
		return
	}
	for _, a := range g.peers.nextGroup(changed) {
		if _, err := g.peers.conn.WriteToUDPAddrPort(message, a); err != nil {
			g.log.Debug("cannot send the share to a peer", "peer", a.String(), "error", err)
		}
	}
}

func (g *Gateway) buildShare(own map[fitting.Key]fitting.Load, now time.Time) *peer.Share {
	current := g.versions()
	out := &peer.Share{
		From: g.cfg.Name, Place: g.cfg.Place, PlanVersion: current.table, RegistryDigest: current.registryDigest,
		RegistryRevision: current.registry.Number(), RegistryEpoch: current.registry.Epoch(),
		Following: g.watchers.registry.fresh(), IssuesPermits: !g.draining.Load(),
		Unreachable: g.detours.UnreachableServices(), LinkMbps: uint32(max(g.cfg.LinkMbps, 0)),
		Loads: make([]*peer.TargetLoad, 0, len(own)),
	}
	for key, l := range own {
		out.Loads = append(out.Loads, &peer.TargetLoad{
			Target: uint64(key), Requests: uint32(max(l.Requests(), 0)), Unread: uint32(max(l.PrefillTokens(), 0)),
			KvTokens: kvTokensToProto(l),
		})
	}
	for _, key := range g.failureReports.Own(now) {
		out.Failing = append(out.Failing, uint64(key))
	}
	out.Usage = usageToProto(g.usageNews(now))
	out.Defects = logbook.ToProto(g.defects.Reports(now))
	out.Evacuations = g.evacuationNews(now)
	out.Limits = limitsToProto(g.limits.OwnReports(g.peers.newsTime(), now))
	out.Limits = append(out.Limits, coldLimitsToProto(g.limits.OwnColdReports(now))...)
	out.Observations = observationsToProto(g.capacity.Own(g.peers.observationsTime(now), now))
	for _, p := range g.peers.recentPlacements(now) {
		out.Placements = append(out.Placements, &peer.Placement{Prompt: p.Prompt, Target: uint64(p.Target)})
	}
	return out
}

func (g *Gateway) receiveShares(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := g.peers.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Warn("cannot receive from peers", "error", err)
				sleep(ctx, retryDelay)
			}
			continue
		}
		var s peer.Share
		if err := proto.Unmarshal(buffer[:n], &s); err != nil || s.From == "" && len(s.Streams) == 0 {
			g.log.Warn("cannot decode a peer's share", "from", from.String(), "error", err)
			continue
		}
		g.handleRecords(s.Streams)
		if s.From != "" {
			g.handleShare(&s, from)
		}
	}
}

func (g *Gateway) handleShare(s *peer.Share, from netip.AddrPort) {
	loads := make(map[fitting.Key]fitting.Load, len(s.Loads))
	for _, l := range s.Loads {
		loads[fitting.Key(l.Target)] = fitting.NewLoad(int(l.Requests), int(l.Unread)).WithKVTokens(int(l.KvTokens))
	}
	now := g.clock.Now()
	g.handleEvacuationNews(s, now)
	g.loads.SetPeer(s.From, loads, now)
	for _, p := range s.Placements {
		g.cacheIndex.RecordFromPeer(fitting.Placement{Prompt: p.Prompt, Target: fitting.Key(p.Target)}, now)
	}
	failing := make([]fitting.Key, len(s.Failing))
	for i, k := range s.Failing {
		failing[i] = fitting.Key(k)
	}
	g.failureReports.RecordFromPeer(s.From, failing, now)
	g.usage.RecordFromPeer(s.From, usageFromProto(s.Usage), now)
	g.handleDefects(s.From, s.Defects)
	g.limits.RecordFromPeer(limitsFromProto(s.Limits), now)
	g.recordColdReports(s.Limits, now)
	g.capacity.RecordFromPeer(observationsFromProto(s.Observations), now)
	reported := peerVersions{
		address: from, table: s.PlanVersion, registryDigest: s.RegistryDigest, following: s.Following,
		registry:      vanillalug.NewStoreRevision(s.RegistryEpoch, s.RegistryRevision),
		issuesPermits: s.IssuesPermits, place: s.Place, unreachable: s.Unreachable, linkMbps: int(s.LinkMbps),
	}
	g.peers.update(s.From, reported)
	current := g.versions()
	g.tableLag.hear(reported.table, current.table, now)
	switch {
	case current.behind(reported):
		g.requestCatchUp()
	case reported.following && current.matches(reported):
		g.softwareVersions.Confirm(false, now)
	}
}
