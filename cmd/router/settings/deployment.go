package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"vanillalug.example/form"
)

// The defaults and limits of the settings on a platform.
const (
	defaultRetryRatio  = 0.2
	defaultRetryExtra  = 50
	maxRetryExtra      = 1e6
	defaultRetryWindow = 10 * time.Second
	defaultGracePeriod = 8 * time.Second
	defaultMemoryMB    = 206
	maxMemoryMB        = 1 << 20
	maxLinkMbps        = 1e6
)

// Deployment are the settings of one router on the users' platform.
type Deployment struct {
	name        string
	place       string
	logLevel    string
	entry       string
	ready       string
	peers       string
	seeds       []netip.AddrPort
	metrics     string
	store       string
	retryRatio  float64
	retryExtra  float64
	retryWindow time.Duration
	gracePeriod time.Duration
	memoryMB    int
	linkMbps    int
	intake      Intake
	// maxConns are the set limits of connections by listener; 0 is derived.
	entryConns, readyConns, peerConns, metricsConns int
}

// LoadDeployment reads the settings from a file. All errors are reported
// together, as a *form.InvalidFileError.
func LoadDeployment(file string) (*Deployment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("LoadDeployment: %w", err)
	}
	return ReadDeployment(file, text)
}

// ReadDeployment parses and checks the text of a settings file.
func ReadDeployment(file string, text []byte) (*Deployment, error) {
	in, err := form.Read(file, text)
	if err != nil {
		return nil, err
	}
	d := &Deployment{}
	router := in.Single("router")
	d.name = router.Required("name")
	d.place = router.Required("place")
	d.logLevel = router.Choice("log-level", "info", "trace", "debug", "info", "warn", "error")
	d.memoryMB = router.Int("memory-mb", defaultMemoryMB, 1, maxMemoryMB)
	d.linkMbps = int(router.Float("link-mbps", 0, 0, maxLinkMbps))
	listen := in.Single("listen")
	d.entry = listen.Address("entry")
	d.ready = listen.Address("ready")
	d.peers = listen.Address("peers")
	d.metrics = listen.Address("metrics")
	for _, text := range in.Single("peers").List("seeds") {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			in.Single("peers").AddError("seeds", fmt.Sprintf("%q: want IP numbers and ports", text))
			continue
		}
		d.seeds = append(d.seeds, seed)
	}
	d.store = in.Single("store").Address("address")
	retries := in.Single("retries")
	d.retryRatio = retries.Float("ratio", defaultRetryRatio, 0, 1)
	d.retryExtra = retries.Float("extra", defaultRetryExtra, 0, maxRetryExtra)
	d.retryWindow = retries.Duration("window", defaultRetryWindow, time.Second, time.Hour)
	d.gracePeriod = in.Single("times").Duration("grace", defaultGracePeriod, time.Second, time.Hour)
	d.readLimits(in.Single("limits"))
	if err := in.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Deployment) readLimits(in *form.Section) {
	d.intake = readIntake(in, d.memoryMB)
	d.entryConns = in.Int("entry-connections", 0, 0, maxMaxConns)
	d.readyConns = in.Int("ready-connections", 0, 0, maxMaxConns)
	d.peerConns = in.Int("peer-connections", 0, 0, maxMaxConns)
	d.metricsConns = in.Int("metrics-connections", 0, 0, maxMaxConns)
}

// Intake returns the limits of what is held for clients.
func (d *Deployment) Intake() Intake { return d.intake }

// EntryConns returns how many connections of callers may be open, in a process with that many
// descriptors.
func (d *Deployment) EntryConns(descriptors int) int {
	return d.intake.maxConns(d.entryConns, descriptors, callerDescriptors)
}

// ReadyConns returns how many connections may be open for the balancer's checks.
func (d *Deployment) ReadyConns(descriptors int) int {
	return d.intake.maxConns(d.readyConns, descriptors, operatorDescriptors)
}

// PeerConns returns how many connections of other routers may be open.
func (d *Deployment) PeerConns(descriptors int) int {
	return d.intake.maxConns(d.peerConns, descriptors, peerDescriptors)
}

// MetricsConns returns how many connections may be open for metrics.
func (d *Deployment) MetricsConns(descriptors int) int {
	return d.intake.maxConns(d.metricsConns, descriptors, metricsDescriptors)
}

// Name returns the unique name of the VM.
func (d *Deployment) Name() string { return d.name }

// LinkMbps returns the bandwidth of the VM's link in Mbit/s; 0 if it is unknown.
func (d *Deployment) LinkMbps() int { return d.linkMbps }

// Place returns the failure domain.
func (d *Deployment) Place() string { return d.place }

// LogLevel returns the lowest level that is logged.
func (d *Deployment) LogLevel() string { return d.logLevel }

// Entry returns the address of the caller listener.
func (d *Deployment) Entry() string { return d.entry }

// Ready returns the address of the listener for the balancer's readiness checks.
func (d *Deployment) Ready() string { return d.ready }

// Peers returns the address of the listener for other routers, over TCP and UDP.
func (d *Deployment) Peers() string { return d.peers }

// Seeds returns addresses of other routers; some may be out of date.
func (d *Deployment) Seeds() []netip.AddrPort { return d.seeds }

// Metrics returns the address of the metrics listener.
func (d *Deployment) Metrics() string { return d.metrics }

// Store returns the address of the platform's store.
func (d *Deployment) Store() string { return d.store }

// RetryRatio returns the retry budget as a fraction of a service's requests.
func (d *Deployment) RetryRatio() float64 { return d.retryRatio }

// RetryExtra returns the number of retries that all routers together may make in
// a window in addition to the ratio.
func (d *Deployment) RetryExtra() float64 { return d.retryExtra }

// RetryWindow returns the window in which requests and retries are counted.
func (d *Deployment) RetryWindow() time.Duration { return d.retryWindow }

// GracePeriod returns how long the process may run after SIGTERM.
func (d *Deployment) GracePeriod() time.Duration { return d.gracePeriod }

// MemoryMB returns the memory that the process may use, in MiB.
func (d *Deployment) MemoryMB() int { return d.memoryMB }
