package fleet

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	grace        = 4 * time.Second
	restartDelay = 300 * time.Millisecond
)

// Router runs a router process and restarts it when it exits.
type Router struct {
	Name string
	// CallerProxy is the proxy that callers connect to.
	CallerProxy *Proxy
	// StoreProxy is the proxy through which the router connects to the store.
	StoreProxy *Proxy

	// builds are the binaries that the router runs in turn, one after each restart.
	builds []string
	starts int
	dir    string
	ready  string
	entry  string
	peers  string
	// storeLink has the faults of the connections to the store.
	storeLink FaultTracker
	// callerLink has those of the connections from callers.
	callerLink FaultTracker

	mu             sync.Mutex
	process        *os.Process
	stopped        bool
	exits          int
	requestedExits int
	// disruptions are the times of signals that end, pause or resume the process.
	disruptions []time.Time
	// startTimes are when the process was started.
	startTimes []time.Time
}

// NewRouter writes the settings of a router and starts its proxies, but not the
// process.
func NewRouter(bin, dir, name, place, store string) (*Router, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	r := &Router{Name: name, builds: []string{bin}, dir: dir, entry: addresses[0], ready: addresses[1], peers: addresses[2]}
	if r.CallerProxy, err = NewProxy(r.entry); err != nil {
		return nil, err
	}
	if r.StoreProxy, err = NewNarrowProxy(store, storeBandwidth); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[router]\nname = %s\nplace = %s\nmemory-mb = %d\n[listen]\nentry = %s\nready = %s\npeers = %s\nmetrics = %s\n"+
		"[store]\naddress = %s\n[retries]\nratio = 0.2\nextra = 100\nwindow = 10s\n[times]\ngrace = %s\n",
		name, place, memoryMB, r.entry, r.ready, r.peers, addresses[3], r.StoreProxy.Address(), grace)
	return r, os.WriteFile(r.settings(), []byte(text), 0o600)
}

// AddSeeds adds the addresses of other routers to the settings, as gossip seeds.
func (r *Router) AddSeeds(others ...*Router) error {
	var seeds []string
	for _, o := range others {
		seeds = append(seeds, o.peers)
	}
	text, err := os.ReadFile(r.settings())
	if err != nil {
		return err
	}
	return os.WriteFile(r.settings(), append(text, "[peers]\nseeds = "+strings.Join(seeds, ", ")+"\n"...), 0o600)
}

// Alternate makes the router run another build after each restart, and from the start if first is
// set. It must not run yet.
func (r *Router) Alternate(other string, first bool) {
	r.builds = append(r.builds, other)
	if first {
		r.starts = 1
	}
}

// LogFile returns the path of the file with the router's output.
func (r *Router) LogFile() string { return filepath.Join(r.dir, r.Name+".log") }

// Entry returns the address of the router's caller listener, without the proxy.
func (r *Router) Entry() string { return r.entry }

// Start starts the process, and restarts it whenever it exits, until Stop.
func (r *Router) Start() error {
	out, err := os.OpenFile(r.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	go func() {
		defer func() { _ = out.Close() }()
		for r.runOnce(out) {
			time.Sleep(restartDelay)
		}
	}()
	return nil
}

func (r *Router) runOnce(out *os.File) bool {
	bin := r.builds[r.starts%len(r.builds)]
	r.starts++
	cmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptorLimit), bin, "-deployment", r.settings())
	cmd.Stdout, cmd.Stderr = out, out
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return false
	}
	err := cmd.Start()
	if err == nil {
		r.process = cmd.Process
		r.startTimes = append(r.startTimes, time.Now())
	}
	r.mu.Unlock()
	if err != nil {
		return false
	}
	_ = cmd.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.process = nil
	r.exits++
	return !r.stopped
}

// Signal sends a signal to the process, if it runs. It counts the signals that
// end the process, so that UnexpectedExits can leave them out.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		r.requestedExits++
	}
	if s != syscall.SIGHUP {
		r.disruptions = append(r.disruptions, time.Now())
	}
	_ = r.process.Signal(s)
}

// DisruptedBetween reports whether the process was stopped, paused or resumed
// between the two times, or may still have been then.
func (r *Router) DisruptedBetween(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.disruptions {
		if at.After(from.Add(-maxFault)) && at.Before(to) {
			return true
		}
	}
	return false
}

// ranBetween reports whether the same process ran between the two times and got no signal that
// disturbs it. No pause is longer than the contact bound, and the signal that ends it counts.
func (r *Router) ranBetween(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range slices.Concat(r.disruptions, r.startTimes) {
		if at.After(from) && at.Before(to) {
			return false
		}
	}
	return true
}

// PID returns the id of the process, or false if none runs.
func (r *Router) PID() (pid int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return 0, false
	}
	return r.process.Pid, true
}

// UnexpectedExits returns how often the process exited without a signal to stop.
func (r *Router) UnexpectedExits() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.exits-r.requestedExits, 0)
}

// Ready reports whether the router's readiness endpoint answers with status 200.
func (r *Router) Ready() bool {
	client := http.Client{Timeout: time.Second}
	w, err := client.Get("http://" + r.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// Stop kills the process, without a restart, and closes the proxies.
func (r *Router) Stop() {
	r.mu.Lock()
	r.stopped = true
	if r.process != nil {
		_ = r.process.Signal(syscall.SIGCONT)
		_ = r.process.Signal(syscall.SIGKILL)
	}
	r.mu.Unlock()
	r.CallerProxy.Close()
	r.StoreProxy.Close()
}

func (r *Router) settings() string { return filepath.Join(r.dir, r.Name+".ini") }
