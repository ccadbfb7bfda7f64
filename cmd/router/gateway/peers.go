package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"vanillalug.example/fitting"
	"vanillalug.example/schedule"
)

const (
	// shareInterval is the time between two datagrams with loads.
	shareInterval = 200 * time.Millisecond
	// announceDelay lets the other routers announce themselves first.
	announceDelay = 2 * time.Second
	// peersInterval is the time between two reads of the routers' table.
	peersInterval   = 15 * time.Second
	announceTimeout = 3 * time.Second
	maxDatagram     = 1400
)

// peers are the other routers, as they announced themselves.
type peers struct {
	name  string
	clock schedule.Clock
	conn  *net.UDPConn

	mu        sync.Mutex
	addresses map[string]netip.AddrPort
}

func newPeers(name string, clock schedule.Clock) *peers {
	return &peers{name: name, clock: clock, addresses: map[string]netip.AddrPort{}}
}

// routerBody is what a router writes of itself for its peers.
type routerBody struct {
	Address string `json:"address"`
}

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

// announce writes this router's address and reads those of the others.
func (g *Gateway) announce(ctx context.Context) {
	value, err := json.Marshal(routerBody{Address: g.cfg.PeerAddress})
	if err != nil {
		g.log.Error("cannot announce this router", "error", err)
		return
	}
	sleep(ctx, rand.N(announceDelay/2))
	written := false
	for ctx.Err() == nil {
		if !written {
			written = g.announceOnce(ctx, value)
			sleep(ctx, announceDelay)
		}
		if g.readPeers(ctx) && written {
			sleep(ctx, peersInterval/2+rand.N(peersInterval))
			continue
		}
		sleep(ctx, maxRetryDelay+rand.N(maxRetryDelay))
	}
}

func (g *Gateway) announceOnce(ctx context.Context, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := g.store.Announce(ctx, g.cfg.Name, value); err != nil {
		g.log.Warn("cannot announce this router", "error", err)
		return false
	}
	return true
}

func (g *Gateway) readPeers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, err := g.store.Routers(ctx)
	if err != nil {
		g.log.Warn("cannot read the routers' addresses", "error", err)
		return false
	}
	found := map[string]netip.AddrPort{}
	for _, r := range rows.All() {
		var b routerBody
		if err := json.Unmarshal(r.Value(), &b); err != nil {
			g.log.Warn("a router's address can't be read", "router", r.Key(), "error", err)
			continue
		}
		address, err := netip.ParseAddrPort(b.Address)
		if err != nil || r.Key() == g.cfg.Name {
			continue
		}
		found[r.Key()] = address
	}
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	g.peers.addresses = found
	return true
}

func (p *peers) list() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(p.addresses))
	for _, a := range p.addresses {
		out = append(out, a)
	}
	return out
}

// shareLoads tells every peer this router's own work.
func (g *Gateway) shareLoads(time.Time) {
	message := encodeLoads(g.cfg.Name, g.board.Own())
	for _, a := range g.peers.list() {
		if _, err := g.peers.conn.WriteToUDPAddrPort(message, a); err != nil {
			g.log.Debug("cannot tell a peer the loads", "peer", a.String(), "error", err)
		}
	}
}

func (g *Gateway) hearPeers(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := g.peers.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Warn("cannot hear peers", "error", err)
				sleep(ctx, retryDelay)
			}
			continue
		}
		name, loads, ok := decodeLoads(buffer[:n])
		if !ok {
			g.log.Warn("a peer's loads can't be read", "bytes", n)
			continue
		}
		g.board.Hear(name, loads, g.clock.Now())
	}
}

// The fields of a datagram.
const (
	fieldName protowire.Number = iota + 1
	fieldTarget
	fieldRequests
	fieldUnread
)

// encodeLoads writes the sender's name and its load at each target.
func encodeLoads(name string, loads map[fitting.Key]fitting.Load) []byte {
	b := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	b = protowire.AppendString(b, name)
	for k, l := range loads {
		b = protowire.AppendTag(b, fieldTarget, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, uint64(k))
		b = protowire.AppendTag(b, fieldRequests, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(max(l.Requests(), 0)))
		b = protowire.AppendTag(b, fieldUnread, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(max(l.Unread(), 0)))
	}
	return b
}

// decodeLoads reads a datagram; each target is followed by its figures.
func decodeLoads(b []byte) (name string, loads map[fitting.Key]fitting.Load, ok bool) {
	loads = map[fitting.Key]fitting.Load{}
	var target fitting.Key
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return "", nil, false
		}
		b = b[n:]
		var value uint64
		switch kind {
		case protowire.BytesType:
			text, m := protowire.ConsumeString(b)
			name, n = text, m
		case protowire.Fixed64Type:
			value, n = protowire.ConsumeFixed64(b)
		case protowire.VarintType:
			value, n = protowire.ConsumeVarint(b)
		default:
			return "", nil, false
		}
		if n < 0 {
			return "", nil, false
		}
		b = b[n:]
		switch number {
		case fieldTarget:
			target = fitting.Key(value)
		case fieldRequests:
			loads[target] = loads[target].Plus(fitting.NewLoad(int(value), 0))
		case fieldUnread:
			loads[target] = loads[target].Plus(fitting.NewLoad(0, int(value)))
		}
	}
	return name, loads, name != ""
}
