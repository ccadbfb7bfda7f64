package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"vanillalug.example/cmd/router/gateway"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/cmd/router/settings"
	"vanillalug.example/peer"
	"vanillalug.example/platform"
	"vanillalug.example/reception"
	"vanillalug.example/schedule"
)

const (
	// entryHeaderTimeout and entryIdleTimeout hold until the routing table says
	// shorter times.
	entryHeaderTimeout = 30 * time.Second
	entryIdleTimeout   = 10 * time.Minute
	entryMaxHeader     = 64 << 10
	entryMaxConns      = 2000
	storeConnect       = 500 * time.Millisecond
	peerConnect        = 400 * time.Millisecond
	peerPool           = 10 * time.Second
	storeKeepAlive     = time.Second
	// memoryShare is the part of the memory at which the collector works harder.
	memoryShare = 0.7
	gcPercent   = 60
	// leaveMargin is kept from the end of the grace time.
	leaveMargin = 300 * time.Millisecond
	// flushTime bounds the wait for the last lines of the log.
	flushTime = 100 * time.Millisecond
	// balancerTime is how long the balancer may go on to send new connections.
	balancerTime = 2800 * time.Millisecond
)

// serveDeployment runs a router on the users' platform until it is told to stop.
func serveDeployment(file string, cfg *settings.Deployment) int {
	out := reception.NewBoundedWriter(os.Stdout)
	defer out.Close(flushTime)
	meter.Gauge("log_lines_left_out", func() float64 { return float64(out.Dropped()) })
	log := reception.NewLogger("router", cfg.LogLevel(), true, out).With("router", cfg.Name())
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB()<<20) * memoryShare))
	clock := schedule.NewSystem()
	client := reception.NewClient("store",
		reception.WithConnectTimeout(storeConnect), reception.WithKeepAlive(storeKeepAlive, storeKeepAlive))
	g := gateway.New(gateway.Config{
		Name: cfg.Name(), Place: cfg.Place(), PeerAddress: cfg.Peers(), Seeds: cfg.Seeds(),
		RetryRatio: cfg.RetryRatio(), RetryExtra: cfg.RetryExtra(), RetryWindow: cfg.RetryWindow(),
		Grace: cfg.GracePeriod(),
	}, clock, log, platform.NewStore(client, cfg.Store()),
		reception.NewClient("peers", reception.WithConnectTimeout(peerConnect), reception.WithIdleConnTimeout(peerPool)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	entry, failed, err := listenDeployment(cfg, g)
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
			return leaveDeployment(cfg, g, entry, log)
		}
	}
}

func listenDeployment(cfg *settings.Deployment, g *gateway.Gateway) (*reception.Server, chan error, error) {
	entry, err := reception.NewServer("entry", cfg.Entry(), reception.WithHandler(g),
		reception.WithMaxHeaderBytes(entryMaxHeader), reception.WithMaxConns(entryMaxConns),
		reception.WithTimeouts(entryHeaderTimeout, entryIdleTimeout), reception.WithConnLimits(g))
	if err != nil {
		return nil, nil, err
	}
	ready, err := reception.NewServer("ready", cfg.Ready(), reception.WithHandler(readiness(g)))
	if err != nil {
		return nil, nil, err
	}
	metrics, err := reception.NewServer("metrics", cfg.Metrics(), reception.WithHandler(
		http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { meter.Write(w) })))
	if err != nil {
		return nil, nil, err
	}
	peers, err := reception.NewServer("peers", cfg.Peers(), reception.WithHandler(peer.NewBeliefsServer(g)))
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

// reload reads the settings again. A file with faults changes nothing.
func reload(file string, g *gateway.Gateway, log hclog.Logger) {
	cfg, err := settings.LoadDeployment(file)
	if err != nil {
		log.Error("settings not reloaded; the ones in force stay", "error", err)
		return
	}
	log.SetLevel(hclog.LevelFromString(cfg.LogLevel()))
	g.SetSeeds(cfg.Seeds())
	log.Info("settings reloaded", "log-level", cfg.LogLevel(), "seeds", len(cfg.Seeds()))
}

// leaveDeployment takes what still comes until the balancer has turned away,
// then closes idle connections and ends when every request is answered, or just
// before the grace time is over.
func leaveDeployment(cfg *settings.Deployment, g *gateway.Gateway, entry *reception.Server, log hclog.Logger) int {
	start := time.Now()
	g.StartDraining()
	log.Info("told to stop", "open", g.InFlight())
	time.Sleep(balancerTime)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(cfg.GracePeriod()-leaveMargin))
	defer cancel()
	if err := entry.Shutdown(ctx); err != nil {
		log.Warn("stopped with open requests", "open", g.InFlight(), "error", err)
		return exitCut
	}
	log.Info("stopped")
	return 0
}
