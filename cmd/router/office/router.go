package office

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"vanillalug.example"
	"vanillalug.example/allowance"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/defect"
	"vanillalug.example/depot"
	"vanillalug.example/dispatch"
	"vanillalug.example/notice"
	"vanillalug.example/register"
	"vanillalug.example/roster"
	"vanillalug.example/schedule"
)

// Router serves chat requests and service calls and holds their state.
type Router struct {
	name    string
	place   string
	build   string
	levels  vanillalug.LevelRange
	opts    options
	log     hclog.Logger
	clock   schedule.Clock
	engines courier.Engine
	calls   courier.Service
	peers   *courier.PeerClient
	table   depot.Table
	objects depot.Objects
	vms     depot.VMs

	roster       *roster.Roster
	register     *register.Tracker
	loads        *dispatch.LoadView
	budget       *allowance.Budget
	engineStates engineTable
	targets      targetTable
	relays       relayTable
	ownership    ownership
	evacuations  evacuations
	journal      *journal
	inFlight     inFlightCounts
	// defects has the chats that crash engines.
	defects *defect.Tracker

	draining atomic.Bool
	// stopAt is when a draining router will stop; nil if that isn't known. durations has how long
	// requests took.
	stopAt      atomic.Pointer[time.Time]
	durations   *notice.Durations
	lastRequest atomic.Uint64
}

type options struct {
	maxInFlight  int
	indexedChats int
}

// Option configures a new Router.
type Option func(*options)

// WithMaxInFlight sets the maximum number of callers' requests in flight.
func WithMaxInFlight(n int) Option { return func(o *options) { o.maxInFlight = n } }

// WithIndexedChats sets the number of chats in the cache index of an engine.
func WithIndexedChats(n int) Option { return func(o *options) { o.indexedChats = n } }

// Identity is the name, location, address and build of a router and the rules
// levels that it supports.
type Identity struct {
	Name    string
	Place   string
	Address string
	Build   string
	Levels  vanillalug.LevelRange
}

// Dependencies holds the clock, the logger and the clients of a router.
type Dependencies struct {
	Clock   schedule.Clock
	Log     hclog.Logger
	Engines courier.Engine
	Calls   courier.Service
	Peers   *courier.PeerClient
	Table   depot.Table
	Objects depot.Objects
	VMs     depot.VMs
}

const defaultMaxInFlight = 8192

// New returns a router without a fleet document and without peers. Its
// incarnation is its start time in Unix milliseconds.
func New(id Identity, deps Dependencies, opts ...Option) *Router {
	o := options{maxInFlight: defaultMaxInFlight, indexedChats: dispatch.DefaultIndexedChats}
	for _, opt := range opts {
		opt(&o)
	}
	now := deps.Clock.Now()
	self := roster.NewMember(id.Name, id.Address, id.Place, uint64(now.UnixMilli()))
	r := &Router{
		name: id.Name, place: id.Place, build: id.Build, levels: id.Levels, opts: o,
		log: deps.Log, clock: deps.Clock, engines: deps.Engines, calls: deps.Calls, peers: deps.Peers,
		table: deps.Table, objects: deps.Objects, vms: deps.VMs,
		roster:    roster.New(deps.Clock, self),
		register:  register.New(deps.Clock, id.Levels),
		loads:     dispatch.NewLoadView(),
		budget:    allowance.NewBudget(),
		defects:   defect.NewTracker(defect.WithTrialWait(trialWait)),
		durations: notice.NewDurations(),
	}
	r.journal = newJournal(deps.Clock, deps.Table)
	r.refreshOwners()
	r.registerGauges()
	return r
}

// Name returns the name of the router.
func (r *Router) Name() string { return r.name }

// Fleet returns the active fleet document, or nil if there is none.
func (r *Router) Fleet() *vanillalug.Fleet { return r.register.Fleet() }

// Ready reports whether the load balancer may send requests to this router, and
// if not, why.
func (r *Router) Ready() (bool, string) {
	switch {
	case r.draining.Load():
		return false, "leaving"
	case r.register.Fleet() == nil:
		return false, "no fleet document"
	case !r.register.Ready():
		return false, fmt.Sprintf("cannot follow rules level %d, only %s", r.register.UnsupportedLevel(), r.levels)
	case !r.roster.Fresh():
		return false, "paused"
	}
	return true, ""
}

// InFlight returns the number of requests in flight of callers and peers.
func (r *Router) InFlight() int { return r.inFlight.total() }

// newRequestID returns an id that is unique in the fleet.
func (r *Router) newRequestID() string {
	return fmt.Sprintf("%s-%x-%x", r.name, r.roster.Self().Incarnation(), r.lastRequest.Add(1))
}

func (r *Router) registerGauges() {
	meter.Gauge("open_requests", func() float64 { return float64(r.inFlight.total()) })
	meter.Gauge("config_version", func() float64 { return float64(r.register.Head().Version()) })
	meter.Gauge("members", func() float64 { return float64(len(r.roster.Members())) })
	meter.Gauge("ready", func() float64 {
		if ok, _ := r.Ready(); ok {
			return 1
		}
		return 0
	})
	meter.Gauge("journal_pending", func() float64 { return float64(r.journal.pendingRows()) })
}

// detachedContext returns a context with a timeout that is not canceled when a
// caller disconnects.
func detachedContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
