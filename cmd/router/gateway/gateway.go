package gateway

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"vanillalug.example"
	"vanillalug.example/allowance"
	"vanillalug.example/amendment"
	"vanillalug.example/capacity"
	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/cmd/router/logbook"
	"vanillalug.example/crew"
	"vanillalug.example/defect"
	"vanillalug.example/delivery"
	"vanillalug.example/detour"
	"vanillalug.example/edition"
	"vanillalug.example/evacuation"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/plan"
	"vanillalug.example/platform"
	"vanillalug.example/quota"
	"vanillalug.example/schedule"
	"vanillalug.example/share"
)

// Config holds the settings of a Gateway.
type Config struct {
	// Name is the unique name of the VM.
	Name string
	// Place is the failure domain.
	Place string
	// PeerAddress is the address and port on which this router listens for its
	// peers, over TCP and UDP.
	PeerAddress string
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 if it is unknown.
	LinkMbps int
	// Seeds are addresses of other routers; some may be out of date.
	Seeds []netip.AddrPort
	// RetryRatio is the retry budget as a fraction of a service's requests.
	RetryRatio float64
	// RetryExtra is the number of retries that all routers together may make in
	// addition to the ratio.
	RetryExtra float64
	// RetryWindow is the time window in which requests and retries are counted.
	RetryWindow time.Duration
}

// Gateway is an HTTP handler that forwards callers' requests to targets. It
// holds the state of one router.
type Gateway struct {
	cfg   Config
	clock schedule.Clock
	log   hclog.Logger
	store *platform.Store
	// dialTarget opens connections to targets.
	dialTarget   channel.DialFunc
	loads        *fitting.LoadTable
	cacheIndex   *fitting.CacheIndex
	serviceTimes *fitting.ServiceTimes
	overloads    *fitting.OverloadTracker
	prefillTimes *fitting.PrefillTimes
	// usage is what workspaces used lately of each service, at all routers.
	usage *share.Table
	// failureReports are failures at targets, seen by this router or its peers.
	failureReports *fitting.FailureReports
	// defects has the parts of prompts that crash targets.
	defects *defect.Tracker
	// logbook keeps that in the store.
	logbook     *logbook.Keeper
	retryBudget *allowance.WindowBudget
	// limits has the requests a second that targets take from all routers together.
	limits *quota.Table
	// targetStates is what this router learned from the targets.
	targetStates *targetStates
	// capacity has how much load each target takes well.
	capacity *capacity.Table
	// permits has those that this router issues for all routers.
	permits *quota.Issuer
	// coldDuty decides whether this router may issue the permits of cold targets.
	coldDuty quota.Duty
	// routersListed says that this router has read the addresses of the others, and startedAt is when
	// it started.
	routersListed atomic.Bool
	startedAt     time.Time
	// loggedCold has the targets that were logged as cold, by service; only maintain uses it.
	loggedCold map[string]map[string]bool
	// idleTimeouts are estimates of how long connections to targets may be idle.
	idleTimeouts idleTimeouts
	// streams has the software versions at which streams began, and softwareVersions those
	// of each service.
	streams          *edition.Records
	softwareVersions *edition.History
	rollouts         *rollouts
	registryReads    registryReads
	stalls           stallDetector
	// ignoredEntries has the registry entries that were left out.
	ignoredEntries ignoredEntries
	// storedVersions and recalledRecords are what this router read of them from the store, which
	// outlasts a restart of all routers.
	storedVersions  storedVersions
	recalledRecords recalledRecords
	// storeWriter is the router that writes them there; backlog waits if it is this one.
	storeWriter atomic.Pointer[storeWriter]
	backlog     edition.Backlog
	// detours tells which services this router can't reach.
	detours *detour.Tracker
	// relayed counts the requests in flight that peers have relayed.
	relayed atomic.Int64
	peers   *peers
	// peerClient sends calls to other routers.
	peerClient    peer.HTTPClient
	watchers      watchers
	catchUpSignal chan struct{}
	// tableSends limits the bytes of routing tables that are sent to peers.
	tableSends *rate.Limiter
	// tableLag is since when a newer routing table is known; loggedLag is the version of the last one
	// that was logged as late, which only maintain uses.
	tableLag  tableLag
	loggedLag uint64
	// amendmentFailed has the version of the active table if an amendment of it couldn't be read.
	amendmentFailed atomic.Uint64
	// deliveries has the peers that lately didn't deliver; only catchUp uses it.
	deliveries *delivery.Record

	table     atomic.Pointer[activeTable]
	upstreams atomic.Pointer[upstreamSet]
	// copySources has the targets by service that are only copied from.
	copySources atomic.Pointer[map[string][]copySource]

	// evacuations has the failure domains that get nothing.
	evacuations evacuations

	viewMu sync.Mutex
	view   *crew.View
	// registryVersion is the version of the view, read without the mutex; its
	// table field is not set.
	registryVersion atomic.Pointer[versions]

	// failing holds the incarnations of targets that are excluded because many
	// routers report failures; only maintain uses it.
	failing map[string]bool

	// storeEpoch is the newest known epoch of the store.
	storeEpoch atomic.Uint64
	// starting is closed when a router that is starting has seen the epoch;
	// consulted says that it has asked its peers then.
	starting  chan struct{}
	startOnce sync.Once
	consulted atomic.Bool
	// registrationLost is signalled when the store may have lost this router's row.
	registrationLost chan struct{}

	draining atomic.Bool
	stopping stopping
	// warmedUp says that the cache index has the placements from before the start.
	warmedUp   atomic.Bool
	inFlight   atomic.Int64
	choiceSeed atomic.Uint64
}

// activeTable is the active routing table with its encoding, which peers may
// request.
type activeTable struct {
	table *plan.Table
	raw   []byte
	// revision is the revision of the store's row.
	revision vanillalug.StoreRevision
	// series has this text and those before it; nil until it is activated.
	series *amendment.Series
	// difference is how the text was received, as an amendment of the one with the digest base; nil if
	// it was received whole.
	difference []byte
	base       uint64

	compressMu sync.Mutex
	compressed []byte // raw in gzip format; empty until a peer requests it
}

// Option is an option of New.
type Option func(*Gateway)

// WithTargetDialer sets how connections to targets are opened.
func WithTargetDialer(dial channel.DialFunc) Option { return func(g *Gateway) { g.dialTarget = dial } }

// New returns a Gateway without routing table and targets; Run fetches them.
func New(
	cfg Config, clock schedule.Clock, log hclog.Logger, store *platform.Store, peerClient peer.HTTPClient, opts ...Option,
) *Gateway {
	g := &Gateway{
		cfg: cfg, clock: clock, log: log, store: store, peerClient: peerClient, dialTarget: channel.Dial,
		catchUpSignal:    make(chan struct{}, 1),
		tableSends:       rate.NewLimiter(tableSendRate, tableSendBurst),
		deliveries:       delivery.NewRecord(),
		starting:         make(chan struct{}),
		registrationLost: make(chan struct{}, 1),
		loads:            fitting.NewLoadTable(),
		cacheIndex:       fitting.NewCacheIndex(),
		serviceTimes:     fitting.NewServiceTimes(),
		overloads:        fitting.NewOverloadTracker(),
		prefillTimes:     fitting.NewPrefillTimes(),
		usage:            share.NewTable(),
		failureReports:   fitting.NewFailureReports(),
		defects:          defect.NewTracker(),
		failing:          map[string]bool{},
		retryBudget:      allowance.NewWindowBudget(cfg.RetryWindow, cfg.RetryRatio, cfg.RetryExtra),
		targetStates:     newTargetStates(),
		limits:           quota.NewTable(),
		capacity:         capacity.NewTable(),
		permits:          quota.NewIssuer(),
		streams:          edition.NewRecords(),
		softwareVersions: edition.NewHistory(),
		rollouts:         newRollouts(),
		detours:          detour.NewTracker(),
		view:             crew.NewView(),
		evacuations:      evacuations{state: evacuation.NewState()},
		stopping:         newStopping(),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.logbook = logbook.New(clock, log, store, g.defects, g.writesToStore)
	g.startedAt = clock.Now()
	g.copySources.Store(&map[string][]copySource{})
	g.upstreams.Store(newUpstreamSet())
	g.peers = newPeers(clock)
	g.SetSeeds(cfg.Seeds)
	g.watchers = g.newWatchers()
	return g
}

// Run starts following the store and exchanging state with peers in background
// goroutines, which end with the context. It returns an error if it can't listen
// for peers.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.listenPeers(ctx); err != nil {
		return err
	}
	go g.watchers.table.run(ctx)
	go g.watchers.registry.run(ctx)
	go g.keepRegistered(ctx)
	go g.logbook.Run(ctx, g.storeEpoch.Load)
	go g.keepVersionsStored(ctx)
	go g.keepRecordsStored(ctx)
	go g.catchUp(ctx)
	go g.bootstrap(ctx)
	go g.consultPeers(ctx)
	go g.warmUp(ctx)
	stops := []func(){
		g.clock.Every(shareInterval, g.sendShare),
		g.clock.Every(shareInterval, g.tickColdDuty),
		g.clock.Every(maintainInterval, g.maintain),
		g.clock.Every(probeTick, g.probeTargets),
	}
	context.AfterFunc(ctx, func() {
		for _, stop := range stops {
			stop()
		}
	})
	return nil
}

// SetSeeds replaces the seed addresses, which are queried while this router has
// no routing table or no targets.
func (g *Gateway) SetSeeds(seeds []netip.AddrPort) { g.peers.setSeeds(seeds) }

// Ready reports whether the router is ready for new connections: it is not
// draining, knows what is evacuated, and has a routing table and at least one target, which may be
// in an evacuated failure domain.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.mayServe() && g.table.Load() != nil && g.upstreams.Load().anyTarget()
}

// HeaderLimit returns the timeout for reading a caller's header; 0 if there is
// no routing table yet.
func (g *Gateway) HeaderLimit() time.Duration {
	active := g.table.Load()
	if active == nil {
		return 0
	}
	return active.table.Limits().HeaderTimeout()
}

// IdleLimit returns the idle timeout of callers' connections; 0 if there is no
// routing table yet.
func (g *Gateway) IdleLimit() time.Duration {
	active := g.table.Load()
	if active == nil {
		return 0
	}
	return active.table.Limits().IdleTimeout()
}

// routerCount returns the number of routers that are alive, including this one.
func (g *Gateway) routerCount() int { return g.loads.Peers(g.peers.aliveSince()) + 1 }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// StartDraining makes the router unready. Requests that still arrive are served if they can end before
// the time that StopBy sets. The peers are told at once that another router issues its permits.
func (g *Gateway) StartDraining() {
	g.draining.Store(true)
	g.peers.announce()
}
