package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"vanillalug.example/cmd/router/gateway"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/cmd/router/settings"
	"vanillalug.example/platform"
	"vanillalug.example/reception"
	"vanillalug.example/schedule"
)

const (
	// entryHeaderTimeout and entryIdleTimeout apply until the routing table sets
	// shorter ones.
	entryHeaderTimeout  = 30 * time.Second
	entryIdleTimeout    = 10 * time.Minute
	entryMaxHeaderBytes = 64 << 10
	// probeMaxHeaderBytes bounds the heads of readiness checks and of requests for metrics.
	probeMaxHeaderBytes = 8 << 10
	storeConnectTimeout = 500 * time.Millisecond
	peerConnectTimeout  = 400 * time.Millisecond
	peerIdleConnTimeout = 10 * time.Second
	storeKeepAlive      = time.Second
	// maxPeerReply bounds the reply of a peer, in bytes: a routing table in gzip format and the registry.
	maxPeerReply = platform.MaxRoutingTable
	// shutdownMargin is subtracted from the grace period.
	shutdownMargin = 300 * time.Millisecond
	// flushTimeout limits the wait for buffered log lines.
	flushTimeout = 100 * time.Millisecond
	// balancerDelay is how long the balancer may send new connections after the
	// router stops being ready.
	balancerDelay = 2800 * time.Millisecond
)

// serveDeployment runs a router on the users' platform until SIGTERM or SIGINT.
func serveDeployment(file string, cfg *settings.Deployment) int {
	out := reception.NewBoundedWriter(os.Stdout)
	defer out.Close(flushTimeout)
	meter.Gauge("log_lines_left_out", func() float64 { return float64(out.Dropped()) })
	log := reception.NewLogger("router", cfg.LogLevel(), true, out).With("router", cfg.Name())
	limitMemory(cfg.MemoryMB())
	clock := schedule.NewSystem()
	g := gateway.New(gateway.Config{
		Name: cfg.Name(), Place: cfg.Place(), PeerAddress: cfg.Peers(), Seeds: cfg.Seeds(), LinkMbps: cfg.LinkMbps(),
		RetryRatio: cfg.RetryRatio(), RetryExtra: cfg.RetryExtra(), RetryWindow: cfg.RetryWindow(),
	}, clock, log, platform.NewStore(storeClients(), cfg.Store()),
		reception.NewClient("peers", reception.WithConnectTimeout(peerConnectTimeout), reception.WithIdleConnTimeout(peerIdleConnTimeout),
			reception.WithMaxBody(maxPeerReply)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	entry, failed, err := listenDeployment(cfg, g, newIntake(cfg.Intake(), log))
	if err != nil {
		log.Error("cannot listen", "error", err)
		return exitFailure
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := g.Run(ctx); err != nil {
		log.Error("cannot start", "error", err)
		return exitFailure
	}
	log.Info("started", "entry", cfg.Entry(), "place", cfg.Place(), "build", build)
	for {
		select {
		case err := <-failed:
			log.Error("a listener failed", "error", err)
			return exitFailure
		case s := <-signals:
			if s == syscall.SIGHUP {
				reload(file, g, log)
				continue
			}
			return shutdownDeployment(cfg, g, entry, log)
		}
	}
}

// storeClients returns the clients of the store. Reads of whole tables are few, and have a connection
// for each call.
func storeClients() platform.Clients {
	client := func(opts ...reception.ClientOption) *reception.Client {
		opts = append(opts, reception.WithConnectTimeout(storeConnectTimeout), reception.WithKeepAlive(storeKeepAlive, storeKeepAlive))
		return reception.NewClient("store", opts...)
	}
	return platform.Clients{
		Targets: client(), RoutingTable: client(), Reads: client(reception.WithoutConnectionReuse()), Others: client(),
	}
}

func listenDeployment(
	cfg *settings.Deployment, g *gateway.Gateway, held *reception.Intake,
) (*reception.Server, chan error, error) {
	descriptors := maxDescriptors()
	entry, err := reception.NewServer("entry", cfg.Entry(), reception.WithHandler(g),
		reception.WithMaxHeaderBytes(entryMaxHeaderBytes), reception.WithMaxConns(cfg.EntryConns(descriptors)),
		reception.WithTimeouts(entryHeaderTimeout, entryIdleTimeout), reception.WithConnLimits(g), reception.WithIntake(held))
	if err != nil {
		return nil, nil, err
	}
	ready, err := reception.NewServer("ready", cfg.Ready(), reception.WithHandler(readiness(g)),
		reception.WithMaxConns(cfg.ReadyConns(descriptors)), reception.WithMaxHeaderBytes(probeMaxHeaderBytes),
		reception.WithIntake(held), reception.WithoutBodies())
	if err != nil {
		return nil, nil, err
	}
	metrics, err := reception.NewServer("metrics", cfg.Metrics(), reception.WithHandler(metricsHandler(g)),
		reception.WithMaxConns(cfg.MetricsConns(descriptors)), reception.WithMaxHeaderBytes(probeMaxHeaderBytes),
		reception.WithIntake(held), reception.WithoutBodies())
	if err != nil {
		return nil, nil, err
	}
	peers, err := reception.NewServer("peers", cfg.Peers(), reception.WithHandler(g.PeerHandler()),
		reception.WithMaxHeaderBytes(entryMaxHeaderBytes), reception.WithMaxConns(cfg.PeerConns(descriptors)),
		reception.WithIntake(held))
	if err != nil {
		return nil, nil, err
	}
	servers := []*reception.Server{entry, ready, metrics, peers}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.Serve() }()
	}
	return entry, failed, nil
}

func readiness(g *gateway.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// reload reads the settings again. An invalid file changes nothing.
func reload(file string, g *gateway.Gateway, log hclog.Logger) {
	cfg, err := settings.LoadDeployment(file)
	if err != nil {
		log.Error("settings not reloaded; keeping the current ones", "error", err)
		return
	}
	log.SetLevel(hclog.LevelFromString(cfg.LogLevel()))
	g.SetSeeds(cfg.Seeds())
	log.Info("settings reloaded", "log-level", cfg.LogLevel(), "seeds", len(cfg.Seeds()))
}

// shutdownDeployment accepts requests until the balancer has stopped sending
// new connections. Then it closes idle connections and waits until no request
// is in flight, or until just before the end of the grace period.
func shutdownDeployment(cfg *settings.Deployment, g *gateway.Gateway, entry *reception.Server, log hclog.Logger) int {
	start := time.Now()
	stopAt := start.Add(cfg.GracePeriod() - shutdownMargin)
	g.StopBy(stopAt)
	g.StartDraining()
	log.Info("told to stop", "open", g.InFlight())
	time.Sleep(balancerDelay)
	ctx, cancel := context.WithDeadline(context.Background(), stopAt)
	defer cancel()
	if err := entry.Shutdown(ctx); err != nil {
		log.Warn("stopped with open requests", "open", g.InFlight(), "error", err)
		return exitOpenRequests
	}
	g.WaitIdle(ctx)
	log.Info("stopped")
	return 0
}
