package gateway

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"vanillalug.example"
	"vanillalug.example/fitting"
	"vanillalug.example/rota"
	"vanillalug.example/schedule"
)

const (
	// shareInterval is the time between two datagrams while requests are in flight.
	shareInterval = 200 * time.Millisecond
	// idleShareIntervals is the number of intervals between datagrams while idle.
	idleShareIntervals = 2
	// freshnessMargin is added to the time in which a peer sends two shares.
	freshnessMargin = 300 * time.Millisecond
	// minLoadTTL is the minimum time for which the loads of a peer are used.
	minLoadTTL = 1500 * time.Millisecond
	// maxPlacementsPerShare is the maximum number of placements in a datagram.
	maxPlacementsPerShare = 48
	// changeRepeats is how often a change is sent to each peer, as datagrams may
	// be lost.
	changeRepeats = 3
	// peersPerInterval is the number of peers that get a datagram in one interval.
	// With more peers each gets them less often.
	peersPerInterval = 24
	// maxPendingPlacements is the maximum number of placements queued for sending.
	maxPendingPlacements = 256
)

// peers holds the other routers, from their registrations and datagrams.
type peers struct {
	conn  *net.UDPConn
	clock schedule.Clock

	mu            sync.Mutex
	known         map[string]*peerRouter
	seeds         []netip.AddrPort
	group         int
	idleIntervals int
	lastSent      versions
	repeatsLeft   int
	// sentToAll is when every peer was last sent a datagram at the same time.
	sentToAll time.Time
	versions  map[string]peerVersions
	pending   []pendingPlacement
	// shortageSince is since when too few peers get responses from the store; the
	// zero time if enough do.
	shortageSince time.Time
}

// peerRouter is another router.
type peerRouter struct {
	address netip.AddrPort
	// lastSeen is when its last datagram arrived, or it was added.
	lastSeen time.Time
	// following says that it was following the store then.
	following bool
	// issuesPermits says that it issues permits for targets that name a limit, as one that
	// isn't shutting down does.
	issuesPermits bool
	// place is its failure domain; "" if it hasn't said.
	place string
	// linkMbps is the bandwidth of its link in Mbit/s; 0 if it hasn't said.
	linkMbps int
	// unreachable are the services whose targets it doesn't reach.
	unreachable []string
}

// peerVersions are the address of a peer and the versions that it reported.
type peerVersions struct {
	address        netip.AddrPort
	table          uint64
	registry       vanillalug.StoreRevision
	registryDigest uint64
	// following says that the peer is following the store.
	following bool
	// issuesPermits says that the peer issues permits.
	issuesPermits bool
	// place is the failure domain of the peer, and unreachable the services whose targets it
	// doesn't reach.
	place       string
	unreachable []string
	// linkMbps is the bandwidth of the peer's link in Mbit/s.
	linkMbps int
}

// pendingPlacement is a placement that is still being sent to peers.
type pendingPlacement struct {
	queuedAt  time.Time
	placement fitting.Placement
}

func newPeers(clock schedule.Clock) *peers {
	return &peers{clock: clock, known: map[string]*peerRouter{}, versions: map[string]peerVersions{}}
}

// add adds routers or updates their addresses.
func (p *peers) add(found map[string]netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, a := range found {
		r, known := p.known[name]
		if !known {
			p.known[name] = &peerRouter{address: a, lastSeen: p.clock.Now()}
			continue
		}
		r.address = a
	}
}

// update records the address and versions of a peer that sent a datagram.
func (p *peers) update(name string, reported peerVersions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known[name] = &peerRouter{
		address: reported.address, lastSeen: p.clock.Now(),
		following: reported.following, issuesPermits: reported.issuesPermits, place: reported.place,
		unreachable: reported.unreachable, linkMbps: reported.linkMbps,
	}
	p.versions[name] = reported
}

// expire removes a router that was not seen for the time. It reports whether it
// did.
func (p *peers) expire(name string, after time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, known := p.known[name]
	if !known || p.clock.Now().Sub(r.lastSeen) < after {
		return false
	}
	delete(p.known, name)
	delete(p.versions, name)
	return true
}

// all returns the addresses of the known routers by name.
func (p *peers) all() map[string]netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]netip.AddrPort, len(p.known))
	for name, r := range p.known {
		out[name] = r.address
	}
	return out
}

// setSeeds sets the addresses that are queried during bootstrap.
func (p *peers) setSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

func (p *peers) seedList() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seeds
}

// alive returns the peers that were seen within ttl.
func (p *peers) alive() []rota.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := p.clock.Now().Add(-p.ttl())
	var out []rota.Peer
	for name, r := range p.known {
		if r.lastSeen.After(since) {
			out = append(out, rota.Peer{Name: name, Following: r.following, LinkMbps: r.linkMbps})
		}
	}
	return out
}

// aliveSince returns the time since which a peer must have sent a share for its
// loads to count.
func (p *peers) aliveSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now().Add(-max(p.ttl(), minLoadTTL))
}

// followerShortage returns how long too few peers have got responses from the store;
// tooFew says whether that is so now.
func (p *peers) followerShortage(tooFew bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !tooFew {
		p.shortageSince = time.Time{}
		return 0
	}
	if p.shortageSince.IsZero() {
		p.shortageSince = now
	}
	return now.Sub(p.shortageSince)
}

// ttl returns the time in which each peer sends two shares, plus a margin.
func (p *peers) ttl() time.Duration { return freshnessMargin + 2*p.cycle() }

// newsTime returns the time in which every peer is sent two shares, so that what is new
// reaches it although one is lost.
func (p *peers) newsTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ttl()
}

// cycle returns the longest time until every peer was sent a share.
func (p *peers) cycle() time.Duration {
	return shareInterval * time.Duration(max(p.groups(), idleShareIntervals))
}

// nextGroup returns the peers to send to in this interval: the next group in
// round-robin order, or everyone.
func (p *peers) nextGroup(everyone bool) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	if everyone {
		p.sentToAll = p.clock.Now()
	}
	groups := p.groups()
	p.group = (p.group + 1) % groups
	out := make([]netip.AddrPort, 0, peersPerInterval)
	for name, r := range p.known {
		if everyone || int(hashOf(name)%uint64(groups)) == p.group {
			out = append(out, r.address)
		}
	}
	return out
}

// groups returns the number of groups into which the peers are divided.
func (p *peers) groups() int {
	return max((len(p.known)+peersPerInterval-1)/peersPerInterval, 1)
}
