package gateway

import (
	"context"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"vanillalug.example/platform"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/reception"
	"vanillalug.example/rota"
)

const (
	// narrowRouters is the number of routers in one process, and narrowRoutes that of their routes.
	narrowRouters = 24
	narrowRoutes  = 4200
	// changedRoutes is 1 in 100 of them.
	changedRoutes = narrowRoutes / 100
)

// narrowClient reads responses at the bandwidth of a router's link, which all its clients share.
type narrowClient struct {
	client   *reception.Client
	link     *rate.Limiter
	received *atomic.Int64
}

func (c narrowClient) Do(r *http.Request) (*http.Response, error) { return c.DoRequest(r) }

func (c narrowClient) DoRequest(r *http.Request) (*http.Response, error) {
	resp, err := c.client.DoRequest(r)
	if err == nil {
		resp.Body = narrowBody{ReadCloser: resp.Body, ctx: r.Context(), c: c}
	}
	return resp, err
}

type narrowBody struct {
	io.ReadCloser
	ctx context.Context
	c   narrowClient
}

func (b narrowBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), b.c.link.Burst())])
	b.c.received.Add(int64(n))
	if waitErr := b.c.link.WaitN(b.ctx, n); waitErr != nil && err == nil {
		err = waitErr
	}
	return n, err
}

// narrowRouter is a router of a narrowFleet, with what it received.
type narrowRouter struct {
	*testRouter
	received *atomic.Int64
}

// newNarrowFleet starts routers on links of 10 Mbit/s that follow one store, as many as rota has.
func newNarrowFleet(t *testing.T, store *platformtest.Store) []narrowRouter {
	var fleet []narrowRouter
	var seeds []netip.AddrPort
	for i := range narrowRouters {
		n := narrowRouter{received: &atomic.Int64{}}
		link := rate.NewLimiter(narrowLink, narrowLink*int(narrowProxyInterval)/int(time.Second))
		client := narrowClient{client: reception.NewClient("narrow"), link: link, received: n.received}
		onLink := func(g *Gateway) {
			g.peerClient = client
			g.store = platform.NewStore(platform.SharedClient(client), store.Address())
		}
		n.testRouter = newTestRouterWith(t, store, name("b", i), []Option{onLink}, seeds...)
		seeds = append(seeds, netip.MustParseAddrPort(n.g.cfg.PeerAddress))
		seeds = seeds[:min(len(seeds), 3)]
		fleet = append(fleet, n)
	}
	return fleet
}

// narrowTable returns narrowRoutes and then changedRoutes, of unlike names.
func narrowTable() []platformtest.Route {
	out := routes()
	random := mathrand.New(mathrand.NewPCG(1, 2))
	for range narrowRoutes + changedRoutes - len(out) {
		out = append(out, platformtest.Route{
			Prefix: fmt.Sprintf("/%08x/", random.Uint32()), Kind: platformtest.Idempotent, Service: plainService, Attempts: 2, TimeoutMS: 2000,
		})
	}
	return out
}

// TestSmallChangeOverNarrowLinks guards against a change whose cost grows with the whole table: with
// 4,200 routes on links of 10 Mbit/s a change of 1 in 100 of them is in force everywhere within the
// platform's limit, and most routers that don't follow the store receive twice the share of the table
// that changed at most. On a machine with much load some of them may fall back to the store.
func TestSmallChangeOverNarrowLinks(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	table := narrowTable()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, table[:narrowRoutes]...))
	fleet := newNarrowFleet(t, store)
	fleet[0].addTargets(plainService, "p1")
	for _, n := range fleet {
		require.Eventually(t, n.g.Ready, 2*waitTimeout, pollInterval)
	}
	require.Eventually(t, func() bool { return countFollowers(fleet) == followersOf(narrowRouters) }, 2*waitTimeout, pollInterval)
	before := make([]int64, len(fleet))
	for i, n := range fleet {
		before[i] = n.received.Load()
	}
	store.PutJSON("op", "config", platformtest.RoutingTable(2, []string{testKey}, table...))
	start := time.Now()
	for _, n := range fleet {
		require.Eventually(t, func() bool { return n.tableVersion() == 2 }, applyTimeout-time.Since(start), pollInterval)
	}
	size := int64(len(fleet[0].g.table.Load().raw))
	small := 0
	for i, n := range fleet {
		if n.received.Load()-before[i] < 2*size*changedRoutes/narrowRoutes {
			small++
		}
	}
	require.GreaterOrEqual(t, small, (narrowRouters-followersOf(narrowRouters))/2)
}

func countFollowers(fleet []narrowRouter) int {
	n := 0
	for _, r := range fleet {
		if r.g.followsStore() && len(r.g.peers.alive()) == len(fleet)-1 {
			n++
		}
	}
	return n
}

// followersOf returns how many of n routers follow the store.
func followersOf(n int) int {
	var peers []rota.Peer
	for i := range n {
		peers = append(peers, rota.Peer{Name: name("b", i), Following: true})
	}
	count := 0
	for i, p := range peers {
		others := append(append([]rota.Peer(nil), peers[:i]...), peers[i+1:]...)
		if rota.FollowsStore(p, others, 0) {
			count++
		}
	}
	return count
}
