package fleet

import (
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	plainService  = "booking"
	engineService = "models"
	// readyTimeout is how long a fleet may take to become ready.
	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	// changeInterval is the mean time between two changes of versions and targets.
	changeInterval = 3 * time.Second
)

var services = []string{plainService, engineService, coldService}

// Size is the size of a fleet.
type Size struct {
	Routers int
	// Targets is the number of targets of each service.
	Targets int
	// Callers is the number of callers of each router.
	Callers int
	// OtherBuild is the path of another build's binary, or "". Every second router begins with
	// it, and all change from one to the other when they restart. It may be older than evacuations
	// and cold targets, which it ignores, so there are none then.
	OtherBuild string
}

// Harness runs a fleet of routers with its callers, fake store and fake targets.
type Harness struct {
	Routers []*Router
	CallLog *CallLog

	store   *platformtest.Store
	tracker *FaultTracker
	contact contact

	// registryMu serializes changes of the registry, of the routing table and of evacuations.
	registryMu  sync.Mutex
	backups     []platformtest.Backup
	evacuated   map[string]bool
	evacuations []evacuation
	coldPeriods []coldPeriod
	deadly      deadlyTraffic
	// heartbeats are the numbers of the targets' entries.
	heartbeats map[*platformtest.Target]int
	// lateHeartbeats are the targets of which the store performed a heartbeat after their removal; guarded by mu.
	lateHeartbeats map[*platformtest.Target]bool
	// hardLoad is set if all routers know evacuations and cold targets, and bound what they hold for
	// callers.
	hardLoad bool

	mu      sync.Mutex
	targets []*platformtest.Target
	all     []*platformtest.Target
	removed map[*platformtest.Target]time.Time
	// targetFaults has the faults of targets themselves.
	targetFaults map[*platformtest.Target]*FaultTracker
	// draining holds the removed targets whose entries stay.
	draining   map[*platformtest.Target]bool
	events     []string
	violations []string
	version    int
	lastTarget int
	start      time.Time
}

// NewHarness starts a fleet and waits until it is ready. It writes the logs to
// dir. After an error, the caller still has to call Stop.
func NewHarness(bin, dir string, size Size) (*Harness, error) {
	h := &Harness{
		CallLog: &CallLog{}, store: platformtest.NewStore(), tracker: &FaultTracker{}, contact: newContact(), evacuated: map[string]bool{},
		heartbeats: map[*platformtest.Target]int{}, lateHeartbeats: map[*platformtest.Target]bool{}, hardLoad: size.OtherBuild == "",
		deadly:       deadlyTraffic{sends: map[string]deadlySend{}},
		targetFaults: map[*platformtest.Target]*FaultTracker{},
		removed:      map[*platformtest.Target]time.Time{}, draining: map[*platformtest.Target]bool{}, start: time.Now(),
	}
	h.store.SetEpoch(1)
	h.publish()
	for range size.Targets {
		for _, service := range services {
			if err := h.addTarget(service); err != nil {
				return h, err
			}
		}
	}
	bin, err := filepath.Abs(bin)
	if err != nil {
		return h, err
	}
	for i := range size.Routers {
		r, err := NewRouter(bin, dir, fmt.Sprintf("r%d", i), places[i%len(places)], h.store.Address())
		if err != nil {
			return h, err
		}
		if size.OtherBuild != "" {
			r.Alternate(size.OtherBuild, i%2 == 1)
		}
		h.Routers = append(h.Routers, r)
	}
	for i, r := range h.Routers {
		if err := r.AddSeeds(h.Routers[(i+1)%len(h.Routers)], h.Routers[(i+2)%len(h.Routers)]); err != nil {
			return h, err
		}
		if err := r.Start(); err != nil {
			return h, err
		}
	}
	return h, h.AwaitReady()
}

// AwaitReady waits until every router is ready.
func (h *Harness) AwaitReady() error { return AwaitReady(h.Routers) }

// AwaitReady waits until the routers are ready.
func AwaitReady(routers []*Router) error {
	end := time.Now().Add(readyTimeout)
	for _, r := range routers {
		for !r.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", r.Name, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Stop stops everything that the harness started.
func (h *Harness) Stop() {
	for _, r := range h.Routers {
		r.Stop()
	}
	h.store.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.all {
		t.Close()
	}
	h.deadly.mu.Lock()
	defer h.deadly.mu.Unlock()
	for _, t := range h.deadly.engines {
		t.Close()
	}
}

// AwaitQuiet waits until no fault has been active for d.
func (h *Harness) AwaitQuiet(d time.Duration) {
	for {
		since, ok := h.tracker.QuietSince()
		if ok && time.Since(since) >= d {
			return
		}
		time.Sleep(pollInterval)
	}
}

// Events returns the injected faults and other changes of the fleet, with the
// seconds since its start.
func (h *Harness) Events() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.events...)
}

func (h *Harness) record(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, fmt.Sprintf("%7.3f %s", time.Since(h.start).Seconds(), text))
}

// violate records violations.
func (h *Harness) violate(found ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, found...)
}

// resumeRouters resumes every process that may be paused.
func (h *Harness) resumeRouters() {
	for _, r := range h.Routers {
		r.Signal(syscall.SIGCONT)
	}
}
