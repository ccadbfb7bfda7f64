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
	// registerDelay lets the other routers register first.
	registerDelay = 2 * time.Second
	// routerListInterval is the mean time between two reads of the routers' table by
	// a router that follows the store. Others learn new routers from their datagrams.
	routerListInterval = time.Minute
	// idleListInterval is that of the others.
	idleListInterval = 5 * time.Minute
	registerTimeout  = 3 * time.Second
	// deregisterAfter is the time without a datagram from a router after which
	// its row is removed.
	deregisterAfter = 10 * time.Minute
)

// routerRecord is the value of a router's row in the store.
type routerRecord struct {
	Address string `json:"address"`
}

// keepRegistered keeps this router's address in the store and reads those of the
// others.
func (g *Gateway) keepRegistered(ctx context.Context) {
	value, err := json.Marshal(routerRecord{Address: g.cfg.PeerAddress})
	if err != nil {
		g.log.Error("cannot encode the address of this router", "error", err)
		return
	}
	sleep(ctx, rand.N(registerDelay/2))
	registered := g.register(ctx, value)
	sleep(ctx, registerDelay)
	for ctx.Err() == nil {
		if !registered {
			registered = g.register(ctx, value)
		}
		listed, err := g.readRouters(ctx)
		if err != nil {
			g.log.Warn("cannot read the routers' addresses", "error", err)
			sleep(ctx, registerDelay/2+rand.N(registerDelay))
			continue
		}
		registered = registered && listed
		interval := idleListInterval
		if g.followsStore() {
			interval = routerListInterval
		}
		if g.registrationLostWithin(ctx, interval/2+rand.N(interval)) {
			registered = false
			sleep(ctx, rand.N(registerDelay))
		}
	}
}

// registrationLostWithin waits for a time, or until the store may have lost this
// router's row; then it returns true.
func (g *Gateway) registrationLostWithin(ctx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-g.registrationLost:
		return true
	}
}

func (g *Gateway) register(ctx context.Context, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := g.store.RegisterRouter(ctx, g.cfg.Name, value); err != nil {
		g.log.Warn("cannot register this router", "error", err)
		return false
	}
	return true
}

// readRouters reads the routers' addresses and reports whether this router's own
// is among them. It removes the rows of routers that were not seen for a long
// time; one that is still alive registers again.
func (g *Gateway) readRouters(ctx context.Context) (listed bool, err error) {
	reader := g.store.ReadRouters()
	if err := readPages(ctx, reader); err != nil {
		return false, err
	}
	found := map[string]netip.AddrPort{}
	for _, r := range reader.Rows().All() {
		if r.Key() == g.cfg.Name {
			listed = true
			continue
		}
		if g.peers.expire(r.Key(), deregisterAfter) {
			g.deregister(ctx, r)
			continue
		}
		address, err := decodeRouter(r.Value())
		if err != nil {
			g.log.Warn("cannot decode a router's address", "router", r.Key(), "error", err)
			continue
		}
		found[r.Key()] = address
	}
	g.peers.add(found)
	g.routersListed.Store(true)
	return listed, nil
}

func (g *Gateway) deregister(ctx context.Context, r platform.Row) {
	if r.Revision().Epoch() != g.storeEpoch.Load() {
		// The revision may have been assigned again, to a row that is in use.
		return
	}
	if err := g.store.DeregisterRouter(ctx, r); err != nil {
		g.log.Warn("cannot remove the row of an expired router", "router", r.Key(), "error", err)
		return
	}
	g.log.Info("router removed", "router", r.Key(), "unheard-for", deregisterAfter.String(), "revision", r.Revision())
}

func decodeRouter(value []byte) (netip.AddrPort, error) {
	var b routerRecord
	if err := json.Unmarshal(value, &b); err != nil {
		return netip.AddrPort{}, fmt.Errorf("decodeRouter: %w", err)
	}
	address, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("decodeRouter: %w", err)
	}
	if ip := address.Addr(); address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return netip.AddrPort{}, fmt.Errorf("decodeRouter: %s is not the address of a router", address)
	}
	return address, nil
}
