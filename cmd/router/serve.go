package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"vanillalug.example"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/cron"
	"vanillalug.example/cmd/router/handlers"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/cmd/router/office"
	"vanillalug.example/cmd/router/settings"
	"vanillalug.example/depot"
	"vanillalug.example/reception"
	"vanillalug.example/schedule"
)

const (
	shutdownTimeout = 2 * time.Second
	// hardLimitFactor is the multiple of a limit above which the server closes a
	// connection without a response; between the two, the handlers respond with
	// a problem.
	hardLimitFactor = 2
	// maxControlBody bounds what peers, the platform and reports of targets may send in one response,
	// in bytes.
	maxControlBody = 16 << 20
)

// listeners are the three HTTP servers of a router.
type listeners struct {
	callers   *reception.Server
	peers     *reception.Server
	operators *reception.Server
}

func serve(cfg *settings.Settings, supported vanillalug.LevelRange) int {
	log := reception.NewLogger("router", cfg.LogLevel(), cfg.LogJSON(), os.Stderr).With("router", cfg.Name())
	limitMemory(cfg.MemoryMB())
	l, err := listen(cfg, newIntake(cfg.Intake(), log))
	if err != nil {
		log.Error("cannot listen", "error", err)
		return exitFailure
	}
	clock := schedule.NewSystem()
	router := newRouter(cfg, supported, clock, log)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	limits := handlers.Limits{
		MaxBodyBytes: cfg.MaxBodyBytes(), MaxHeaderBytes: cfg.MaxHeaderBytes(), MaxConns: cfg.MaxConns(), OpenConns: l.callers.OpenConns,
	}
	handlers.NewCallerAPI(router, limits).Register(l.callers)
	handlers.NewPeerAPI(router, clock, cfg.PeerKey(), cfg.MaxBodyBytes()).Register(l.peers)
	handlers.NewOperatorAPI(router, cfg.OperatorKey(), func() { stop <- syscall.SIGTERM }).Register(l.operators)
	failed := l.serve()
	router.ReadVMs(clock.Now())
	router.ReadHead(clock.Now())
	cancel := cron.Start(clock, router, cfg)
	defer cancel()
	log.Info("serving", "callers", cfg.Callers(), "peers", cfg.Peers(), "build", build, "levels", supported.String())
	select {
	case err := <-failed:
		log.Error("a listener failed", "error", err)
		return exitFailure
	case s := <-stop:
		log.Info("told to stop", "signal", s.String())
	}
	return shutdown(cfg, router, l, log)
}

// shutdown waits for the requests in flight, up to the drain timeout, before it
// closes the listeners.
func shutdown(cfg *settings.Settings, router *office.Router, l *listeners, log hclog.Logger) int {
	drain := func(ctx context.Context) bool { return router.Drain(ctx, cfg.BalancerDelay()) }
	finished := drainServers(cfg.DrainTimeout(), drain, l.callers, l.peers)
	stopServer(l.operators, log)
	if !finished {
		log.Warn("stopped at the drain limit", "open-requests", router.InFlight())
		return exitOpenRequests
	}
	log.Info("stopped")
	return 0
}

// drainServers waits until drain returns and stops the servers. Requests that were
// accepted meanwhile have the rest of the timeout. It reports whether no request was
// cut off.
func drainServers(timeout time.Duration, drain func(context.Context) bool, servers ...*reception.Server) bool {
	ctx, done := context.WithTimeout(context.Background(), timeout)
	defer done()
	finished := drain(ctx)
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			finished = false
		}
	}
	return finished
}

// stopServer stops a server whose requests may be cut off.
func stopServer(s *reception.Server, log hclog.Logger) {
	ctx, done := context.WithTimeout(context.Background(), shutdownTimeout)
	defer done()
	if err := s.Shutdown(ctx); err != nil {
		log.Warn("requests of operators were cut off", "error", err)
	}
}

func listen(cfg *settings.Settings, held *reception.Intake) (*listeners, error) {
	opts := []reception.ServerOption{
		reception.WithMaxHeaderBytes(hardLimitFactor * cfg.MaxHeaderBytes()), reception.WithIntake(held),
	}
	descriptors := maxDescriptors()
	l := &listeners{}
	for _, s := range []struct {
		name    string
		address string
		opts    []reception.ServerOption
		dst     **reception.Server
	}{
		{"callers", cfg.Callers(), []reception.ServerOption{reception.WithMaxConns(cfg.CallerConns(descriptors, hardLimitFactor))}, &l.callers},
		{"peers", cfg.Peers(), []reception.ServerOption{reception.WithMaxConns(cfg.PeerConns(descriptors))}, &l.peers},
		{"operators", cfg.Operators(), []reception.ServerOption{
			reception.WithMaxConns(cfg.OperatorConns(descriptors)), reception.WithoutBodies(),
		}, &l.operators},
	} {
		server, err := reception.NewServer(s.name, s.address, append(s.opts, opts...)...)
		if err != nil {
			return nil, merry.Prependf(err, "listen: %s", s.name)
		}
		*s.dst = server
	}
	return l, nil
}

func (l *listeners) serve() chan error {
	failed := make(chan error, 3)
	for _, s := range []*reception.Server{l.operators, l.peers, l.callers} {
		go func() {
			err := s.Serve()
			if err == nil {
				err = errors.New("listener closed")
			}
			failed <- err
		}()
	}
	return failed
}

func newRouter(cfg *settings.Settings, supported vanillalug.LevelRange, clock schedule.Clock, log hclog.Logger) *office.Router {
	countedClient := func(name string, kind meter.Kind) *reception.Client {
		return reception.NewClient(name, reception.WithByteCounter(meter.ControlBytes(kind)), reception.WithMaxBody(maxControlBody))
	}
	store := depot.NewClient(countedClient("platform", meter.Platform), cfg.Platform(), cfg.PlatformKey())
	peers := courier.NewPeerClient(cfg.PeerKey(),
		countedClient("probes", meter.Probe), countedClient("documents", meter.Document),
		countedClient("hand-over", meter.HandOver), reception.NewClient("relays"), cfg.PeerIdleTimeout())
	reports := countedClient("reports", meter.EngineReport)
	engines := courier.NewHTTPEngine(reception.NewClient("engines", courier.EngineConnections()), reports,
		countedClient("cache-events", meter.CacheEvents), cfg.FirstTokenTimeout(), cfg.EngineIdleTimeout())
	calls := courier.NewHTTPService(reception.NewClient("services"),
		reception.NewClient("services-once", reception.WithoutConnectionReuse()), reports)
	id := office.Identity{
		Name: cfg.Name(), Place: cfg.Place(), Address: cfg.Peers(), Build: build, Levels: supported,
	}
	deps := office.Dependencies{
		Clock: clock, Log: log, Engines: engines, Calls: calls, Peers: peers,
		Table: store, Objects: store, VMs: store,
	}
	return office.New(id, deps,
		office.WithMaxInFlight(cfg.MaxOpenRequests()), office.WithIndexedChats(cfg.RememberedChats()))
}
