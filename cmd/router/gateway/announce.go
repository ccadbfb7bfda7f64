package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"vanillalug.example/platform"
)

const (
	// announceDelay lets the other routers announce themselves first.
	announceDelay = 2 * time.Second
	// peersInterval is the time between two reads of the routers' table.
	peersInterval   = time.Minute
	announceTimeout = 3 * time.Second
	// retireTime is how long a router is not heard before its row is removed.
	retireTime = 10 * time.Minute
)

// routerBody is what a router writes of itself for its peers.
type routerBody struct {
	Address string `json:"address"`
}

// announce keeps this router's address in the store and reads those of the
// others.
func (g *Gateway) announce(ctx context.Context) {
	value, err := json.Marshal(routerBody{Address: g.cfg.PeerAddress})
	if err != nil {
		g.log.Error("cannot announce this router", "error", err)
		return
	}
	sleep(ctx, rand.N(announceDelay/2))
	announced := g.writeAddress(ctx, value)
	sleep(ctx, announceDelay)
	for ctx.Err() == nil {
		if !announced {
			announced = g.writeAddress(ctx, value)
		}
		listed, err := g.readPeers(ctx)
		if err != nil {
			g.log.Warn("cannot read the routers' addresses", "error", err)
			sleep(ctx, announceDelay/2+rand.N(announceDelay))
			continue
		}
		announced = announced && listed
		sleep(ctx, peersInterval/2+rand.N(peersInterval))
	}
}

func (g *Gateway) writeAddress(ctx context.Context, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := g.store.RegisterRouter(ctx, g.cfg.Name, value); err != nil {
		g.log.Warn("cannot announce this router", "error", err)
		return false
	}
	return true
}

// readPeers reads the routers' addresses and reports whether this router's own
// is among them. Routers that are gone for long are removed; one that lives
// announces itself again.
func (g *Gateway) readPeers(ctx context.Context) (listed bool, err error) {
	reading := g.store.ReadRouters()
	if err := readPages(ctx, reading); err != nil {
		return false, err
	}
	found := map[string]netip.AddrPort{}
	for _, r := range reading.Rows().All() {
		if r.Key() == g.cfg.Name {
			listed = true
			continue
		}
		if g.peers.lost(r.Key(), retireTime) {
			g.retire(ctx, r)
			continue
		}
		address, err := decodeRouter(r.Value())
		if err != nil {
			g.log.Warn("a router's address can't be read", "router", r.Key(), "error", err)
			continue
		}
		found[r.Key()] = address
	}
	g.peers.add(found)
	return listed, nil
}

func (g *Gateway) retire(ctx context.Context, r platform.Row) {
	if err := g.store.DeregisterRouter(ctx, r); err != nil {
		g.log.Warn("cannot remove a router that is gone", "router", r.Key(), "error", err)
		return
	}
	g.log.Info("router removed", "router", r.Key(), "unheard-for", retireTime.String(), "revision", r.Revision())
}

func decodeRouter(value []byte) (netip.AddrPort, error) {
	var b routerBody
	if err := json.Unmarshal(value, &b); err != nil {
		return netip.AddrPort{}, fmt.Errorf("decodeRouter: %w", err)
	}
	return netip.ParseAddrPort(b.Address)
}
