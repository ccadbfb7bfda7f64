package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// announceDelay lets the other routers announce themselves first.
	announceDelay = 2 * time.Second
	// peersInterval is the time between two reads of the routers' table.
	peersInterval   = 15 * time.Second
	announceTimeout = 3 * time.Second
)

// routerBody is what a router writes of itself for its peers.
type routerBody struct {
	Address string `json:"address"`
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
		sleep(ctx, announceDelay/2+rand.N(announceDelay))
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
		if r.Key() == g.cfg.Name {
			continue
		}
		var b routerBody
		if err := json.Unmarshal(r.Value(), &b); err != nil {
			g.log.Warn("a router's address can't be read", "router", r.Key(), "error", err)
			continue
		}
		address, err := netip.ParseAddrPort(b.Address)
		if err != nil {
			g.log.Warn("a router's address can't be read", "router", r.Key(), "error", err)
			continue
		}
		found[r.Key()] = address
	}
	g.peers.learn(found)
	return true
}
