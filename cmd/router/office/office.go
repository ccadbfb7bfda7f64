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
	"vanillalug.example/depot"
	"vanillalug.example/dispatch"
	"vanillalug.example/register"
	"vanillalug.example/roster"
	"vanillalug.example/schedule"
)

// Router is one router.
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

	roster    *roster.Roster
	register  *register.Tracker
	loads     *dispatch.LoadView
	budget    *allowance.Budget
	posts     postTable
	targets   targetTable
	relays    relayTable
	ownership ownership
	journal   *journal
	open      openCounts

	leaving atomic.Bool
	serial  atomic.Uint64
	begun   time.Time
}

type options struct {
	maxOpen         int
	rememberedChats int
}

// Option changes a new Office.
type Option func(*options)

// WithMaxInFlight sets the limit of open caller requests.
func WithMaxInFlight(n int) Option { return func(o *options) { o.maxOpen = n } }

// WithIndexedChats sets how many chats are remembered for one engine.
func WithIndexedChats(n int) Option { return func(o *options) { o.rememberedChats = n } }

// Identity is who a router is.
type Identity struct {
	Name    string
	Place   string
	Address string
	Build   string
	Levels  vanillalug.LevelRange
}

// Dependencies is everything that a router reaches out to.
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

const defaultMaxOpen = 8192

// New returns a router that knows nothing yet. Its incarnation is the time of
// its start in milliseconds.
func New(id Identity, out Dependencies, opts ...Option) *Router {
	o := options{maxOpen: defaultMaxOpen, rememberedChats: dispatch.DefaultIndexedChats}
	for _, opt := range opts {
		opt(&o)
	}
	now := out.Clock.Now()
	self := roster.NewMember(id.Name, id.Address, id.Place, uint64(now.UnixMilli()))
	f := &Router{
		name: id.Name, place: id.Place, build: id.Build, levels: id.Levels, opts: o,
		log: out.Log, clock: out.Clock, engines: out.Engines, calls: out.Calls, peers: out.Peers,
		table: out.Table, objects: out.Objects, vms: out.VMs,
		roster:   roster.New(out.Clock, self),
		register: register.New(out.Clock, id.Levels),
		loads:    dispatch.NewLoadView(),
		budget:   allowance.NewBudget(),
		begun:    now,
	}
	f.journal = newJournal(out.Clock, out.Table, out.Log.Named("journal"))
	f.refreshOwners()
	f.registerGauges()
	return f
}

// Name returns the name of the router.
func (o *Router) Name() string { return o.name }

// Fleet returns the document in force, or nil while there is none.
func (o *Router) Fleet() *vanillalug.Fleet { return o.register.Fleet() }

// Ready reports whether the balancer may send callers here, and why not.
func (o *Router) Ready() (bool, string) {
	switch {
	case o.leaving.Load():
		return false, "leaving"
	case o.register.Fleet() == nil:
		return false, "no fleet document"
	case !o.register.Ready():
		return false, fmt.Sprintf("cannot follow rules level %d, only %s", o.register.UnsupportedLevel(), o.levels)
	case !o.roster.Fresh():
		return false, "paused"
	}
	return true, ""
}

// InFlight returns the number of open requests of callers and peers.
func (o *Router) InFlight() int { return o.open.total() }

// nextRequest returns an id that no other request of the fleet has.
func (o *Router) nextRequest() string {
	return fmt.Sprintf("%s-%x-%x", o.name, o.roster.Self().Incarnation(), o.serial.Add(1))
}

func (o *Router) registerGauges() {
	meter.Gauge("open_requests", func() float64 { return float64(o.open.total()) })
	meter.Gauge("config_version", func() float64 { return float64(o.register.Head().Version()) })
	meter.Gauge("members", func() float64 { return float64(len(o.roster.Members())) })
	meter.Gauge("ready", func() float64 {
		if ok, _ := o.Ready(); ok {
			return 1
		}
		return 0
	})
	meter.Gauge("journal_pending", func() float64 { return float64(o.journal.pendingRows()) })
}

// background returns a context that outlives a caller who has gone.
func background(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
