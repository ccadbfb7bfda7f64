package gateway

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"vanillalug.example/fitting"
	"vanillalug.example/rota"
	"vanillalug.example/schedule"
)

const (
	// shareInterval is the time between two datagrams while there is work.
	shareInterval = 200 * time.Millisecond
	// quietShares is how many intervals pass between datagrams without work.
	quietShares = 2
	// heardSlack is kept beyond the time in which a peer speaks.
	heardSlack = 300 * time.Millisecond
	// minLoadTime is how long the loads that a peer told are believed at least.
	minLoadTime = 1500 * time.Millisecond
	// maxTold bounds the placements in a datagram.
	maxTold = 48
	// newsShares is how often each peer is told of news, as datagrams are lost.
	newsShares = 3
	// peersPerInterval is how many peers are told in one interval; with more
	// of them each is told less often.
	peersPerInterval = 24
	// maxPlaced bounds the placements that wait to be told.
	maxPlaced = 256
)

// peers are the other routers, as they announced themselves or were heard.
type peers struct {
	conn  *net.UDPConn
	clock schedule.Clock

	mu     sync.Mutex
	known  map[string]*router
	seeds  []netip.AddrPort
	turn   int
	quiet  int
	told   knowledge
	news   int
	ahead  map[string]ahead
	placed []placed
}

// router is another router.
type router struct {
	address netip.AddrPort
	// heard is when it was heard last, or became known.
	heard time.Time
	// following says that it had heard from the store then.
	following bool
}

// ahead is what a peer said that it knows.
type ahead struct {
	from     netip.AddrPort
	version  uint64
	revision uint64
	digest   uint64
	// following says that the peer has heard from the store lately.
	following bool
}

// placed is a placement that peers are still told of.
type placed struct {
	at        time.Time
	placement fitting.Placement
}

func newPeers(clock schedule.Clock) *peers {
	return &peers{clock: clock, known: map[string]*router{}, ahead: map[string]ahead{}}
}

// add takes in addresses of routers.
func (p *peers) add(found map[string]netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, a := range found {
		r, known := p.known[name]
		if !known {
			p.known[name] = &router{address: a, heard: p.clock.Now()}
			continue
		}
		r.address = a
	}
}

// heard takes in what a peer knows and where it is.
func (p *peers) heard(name string, a ahead) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known[name] = &router{address: a.from, heard: p.clock.Now(), following: a.following}
	p.ahead[name] = a
}

// lost reports whether a known router was not heard for the time, and forgets
// it then.
func (p *peers) lost(name string, after time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, known := p.known[name]
	if !known || p.clock.Now().Sub(r.heard) < after {
		return false
	}
	delete(p.known, name)
	delete(p.ahead, name)
	return true
}

// all returns the known routers.
func (p *peers) all() map[string]netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]netip.AddrPort, len(p.known))
	for name, r := range p.known {
		out[name] = r.address
	}
	return out
}

// setSeeds sets the addresses that are asked while nothing is known.
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

// lately returns the peers that were heard within the time in which each of
// them speaks twice.
func (p *peers) lately() []rota.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := p.clock.Now().Add(-p.freshness())
	var out []rota.Peer
	for name, r := range p.known {
		if r.heard.After(since) {
			out = append(out, rota.Peer{Name: name, Following: r.following})
		}
	}
	return out
}

// freshSince returns since when a living peer has spoken.
func (p *peers) freshSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now().Add(-max(p.freshness(), minLoadTime))
}

// freshness is the time in which each peer speaks twice.
func (p *peers) freshness() time.Duration { return heardSlack + 2*p.cycle() }

// cycle is the longest time in which every peer is told something.
func (p *peers) cycle() time.Duration {
	return shareInterval * time.Duration(max(p.groups(), quietShares))
}

// next returns the peers that are told in this interval: a part of them in
// turn, or all where there is news.
func (p *peers) next(news bool) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	groups := p.groups()
	p.turn = (p.turn + 1) % groups
	out := make([]netip.AddrPort, 0, peersPerInterval)
	for name, r := range p.known {
		if news || int(hashOf(name)%uint64(groups)) == p.turn {
			out = append(out, r.address)
		}
	}
	return out
}

// groups is in how many parts the peers are told in turn.
func (p *peers) groups() int {
	return max((len(p.known)+peersPerInterval-1)/peersPerInterval, 1)
}

// speak reports whether it is time for a datagram, and whether it has news.
// Without work and news some intervals pass in silence.
func (p *peers) speak(busy bool, k knowledge) (now, news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k != p.told {
		p.told = k
		p.news = newsShares
	}
	p.quiet++
	news = p.news > 0
	if !busy && !news && p.quiet < quietShares/p.groups() {
		return false, false
	}
	p.quiet = 0
	p.news = max(p.news-1, 0)
	return true, news
}

// place keeps a placement for the next datagrams.
func (p *peers) place(placement fitting.Placement, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.placed) < maxPlaced {
		p.placed = append(p.placed, placed{at: now, placement: placement})
	}
}

// recent returns the placements that some peer may not have been told of
// twice, as datagrams are lost at times.
func (p *peers) recent(now time.Time) []fitting.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := now.Add(-time.Duration(2*p.groups()) * shareInterval)
	first := 0
	for first < len(p.placed) && p.placed[first].at.Before(since) {
		first++
	}
	p.placed = slices.Delete(p.placed, 0, first)
	newest := p.placed[max(len(p.placed)-maxTold, 0):]
	out := make([]fitting.Placement, len(newest))
	for i, x := range newest {
		out[i] = x.placement
	}
	return out
}
