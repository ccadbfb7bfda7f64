package gateway

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"vanillalug.example/allowance"
	"vanillalug.example/crew"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/plan"
	"vanillalug.example/platform"
	"vanillalug.example/schedule"
)

// Config is what a Gateway is told of its deployment.
type Config struct {
	// Name is the unique name of the VM.
	Name string
	// Place is the failure domain.
	Place string
	// PeerAddress is where peers reach this router, over TCP and UDP.
	PeerAddress string
	// Seeds are where some other routers were reached at some time.
	Seeds []netip.AddrPort
	// RetryRatio is the share of a service's requests that may be sent again.
	RetryRatio float64
	// RetryExtra is what all routers together may send again besides.
	RetryExtra float64
	// RetryWindow is the span in which repeated sends are counted.
	RetryWindow time.Duration
	// Grace is the time from SIGTERM to the end.
	Grace time.Duration
}

// Gateway is one router's state on the platform.
type Gateway struct {
	cfg    Config
	clock  schedule.Clock
	log    hclog.Logger
	store  *platform.Store
	board  *fitting.LoadTable
	memory *fitting.CacheIndex
	pace   *fitting.ServiceTimes
	crowd  *fitting.OverloadTracker
	// reports are failures at targets, here and at peers.
	reports *fitting.FailureReports
	budget  *allowance.WindowBudget
	// idleLimits are what is learnt of idle connections to targets.
	idleLimits idleLimits
	peers      *peers
	// peerClient sends calls to other routers.
	peerClient peer.HTTPClient
	watchers   watchers
	wake       chan struct{}

	plan    atomic.Pointer[planned]
	targets atomic.Pointer[targets]

	bookMu sync.Mutex
	book   *crew.View
	// registry is what the book knows, for peers.
	registry atomic.Pointer[knowledge]

	// failing are the targets that are left out on the word of peers, by
	// lifetime; only tidy uses it.
	failing map[string]bool

	stopping atomic.Bool
	// settled says that the placements from before the start are known.
	settled atomic.Bool
	open    atomic.Int64
	seed    atomic.Uint64
}

// planned is the routing table in force with the text that it was read from,
// which peers may ask for.
type planned struct {
	plan *plan.Table
	raw  []byte
	// revision is that of the store's row.
	revision uint64
}

// New returns a Gateway that knows nothing yet.
func New(cfg Config, clock schedule.Clock, log hclog.Logger, store *platform.Store, peerClient peer.HTTPClient) *Gateway {
	g := &Gateway{
		cfg: cfg, clock: clock, log: log, store: store, peerClient: peerClient,
		wake:    make(chan struct{}, 1),
		board:   fitting.NewLoadTable(),
		memory:  fitting.NewCacheIndex(),
		pace:    fitting.NewServiceTimes(),
		crowd:   fitting.NewOverloadTracker(),
		reports: fitting.NewFailureReports(),
		failing: map[string]bool{},
		budget:  allowance.NewWindowBudget(cfg.RetryWindow, cfg.RetryRatio, cfg.RetryExtra),
		book:    crew.NewView(),
	}
	g.targets.Store(&targets{byService: map[string][]*post{}, byLifetime: map[string]*post{}})
	g.peers = newPeers(clock)
	g.SetSeeds(cfg.Seeds)
	g.watchers = g.newWatchers()
	return g
}

// Run watches the store and talks to peers until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.listenPeers(ctx); err != nil {
		return err
	}
	go g.watchers.plan.run(ctx)
	go g.watchers.registry.run(ctx)
	go g.announce(ctx)
	go g.catchUp(ctx)
	go g.askSeeds(ctx)
	go g.recall(ctx)
	stops := []func(){
		g.clock.Every(shareInterval, g.shareLoads),
		g.clock.Every(tidyInterval, g.tidy),
	}
	context.AfterFunc(ctx, func() {
		for _, stop := range stops {
			stop()
		}
	})
	return nil
}

// SetSeeds replaces the addresses that are asked while nothing is known.
func (g *Gateway) SetSeeds(seeds []netip.AddrPort) { g.peers.setSeeds(seeds) }

// Ready reports whether new connections are welcome.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.plan.Load() != nil && len(g.targets.Load().byLifetime) > 0
}

// HeaderLimit returns how long a caller may take for a header; 0 is not known.
func (g *Gateway) HeaderLimit() time.Duration {
	p := g.plan.Load()
	if p == nil {
		return 0
	}
	return p.plan.Limits().HeaderTimeout()
}

// IdleLimit returns how long a caller's connection may be idle; 0 is not known.
func (g *Gateway) IdleLimit() time.Duration {
	p := g.plan.Load()
	if p == nil {
		return 0
	}
	return p.plan.Limits().IdleTimeout()
}

// routers returns how many routers are alive, this one included.
func (g *Gateway) routers() int { return g.board.Peers(g.peers.freshSince()) + 1 }

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.open.Load() }

// StartDraining makes the router unready; requests that still come are served.
func (g *Gateway) StartDraining() { g.stopping.Store(true) }
