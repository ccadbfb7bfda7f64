package fleet

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	plain   = "booking"
	engines = "models"
	// readyTime is how long a fleet may take until it is ready.
	readyTime = 15 * time.Second
	readyTick = 50 * time.Millisecond
	// changeInterval is the time between two changes of versions and targets.
	changeInterval = 3 * time.Second
)

// Size is how large a Stage is.
type Size struct {
	Routers int
	// Targets is the number of targets of each service.
	Targets int
	// Callers is the number of callers of each router.
	Callers int
}

// Harness is a fleet with all that is around it.
type Harness struct {
	Routers []*Router
	CallLog *CallLog

	store *platformtest.Store
	calm  *FaultTracker

	mu      sync.Mutex
	targets []*platformtest.Target
	all     []*platformtest.Target
	leaving map[*platformtest.Target]time.Time
	notes   []string
	version int
	number  int
	start   time.Time
}

// NewHarness starts a fleet; logs go to the folder.
func NewHarness(bin, dir string, size Size) (*Harness, error) {
	s := &Harness{
		CallLog: &CallLog{}, store: platformtest.NewStore(), calm: &FaultTracker{},
		leaving: map[*platformtest.Target]time.Time{}, start: time.Now(),
	}
	s.publish()
	for range size.Targets {
		for _, service := range []string{plain, engines} {
			if err := s.addTarget(service); err != nil {
				return s, err
			}
		}
	}
	bin, err := filepath.Abs(bin)
	if err != nil {
		return s, err
	}
	for i := range size.Routers {
		r, err := NewRouter(bin, dir, fmt.Sprintf("r%d", i), s.store.Address())
		if err != nil {
			return s, err
		}
		s.Routers = append(s.Routers, r)
	}
	for i, r := range s.Routers {
		if err := r.AddSeeds(s.Routers[(i+1)%len(s.Routers)], s.Routers[(i+2)%len(s.Routers)]); err != nil {
			return s, err
		}
		if err := r.Start(); err != nil {
			return s, err
		}
	}
	return s, s.AwaitReady()
}

// AwaitReady waits until every router is ready.
func (s *Harness) AwaitReady() error { return AwaitReady(s.Routers) }

// AwaitReady waits until the routers are ready.
func AwaitReady(routers []*Router) error {
	end := time.Now().Add(readyTime)
	for _, r := range routers {
		for !r.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", r.Name, readyTime)
			}
			time.Sleep(readyTick)
		}
	}
	return nil
}

// Stop stops everything that the stage started.
func (s *Harness) Stop() {
	for _, r := range s.Routers {
		r.Stop()
	}
	s.store.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.all {
		t.Close()
	}
}

// Reconfigure publishes versions and replaces targets, until the time is over.
func (s *Harness) Reconfigure(random *rand.Rand, end time.Time) error {
	for time.Now().Before(end) {
		time.Sleep(changeInterval/2 + time.Duration(random.Int64N(int64(changeInterval))))
		s.publish()
		if random.IntN(2) == 0 {
			if err := s.replace(random); err != nil {
				return err
			}
		}
	}
	return nil
}

// AwaitQuiet ends what may still be stopped and waits until nothing was disturbed
// for the time.
func (s *Harness) AwaitQuiet(d time.Duration) {
	for {
		since, ok := s.calm.QuietSince()
		if ok && time.Since(since) >= d {
			return
		}
		time.Sleep(readyTick)
	}
}

// Events returns what was done to the fleet, with the time since its start.
func (s *Harness) Events() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.notes...)
}

func (s *Harness) note(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, fmt.Sprintf("%7.3f %s", time.Since(s.start).Seconds(), text))
}

// publish writes the next version; each version has a route of its own.
func (s *Harness) publish() {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	timeout := int(callWait.Milliseconds())
	route := func(prefix, kind, service string, resumable bool) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Kind: kind, Service: service, Attempts: 2, TimeoutMS: timeout, Resumable: resumable}
	}
	s.store.PutJSON("op", "config", platformtest.RoutingTable(v, []string{APIKey},
		route("/safe/", platformtest.Idempotent, plain, false),
		route("/once/", platformtest.NonIdempotent, plain, false),
		route("/stream/", platformtest.Streaming, engines, true),
		route("/broken/", platformtest.Streaming, engines, false),
		route(versionPath(v), platformtest.Idempotent, plain, false)))
	s.note(fmt.Sprintf("version %d", v))
}

func versionPath(v int) string { return fmt.Sprintf("/version-%d/", v) }

func (s *Harness) addTarget(service string) error {
	s.mu.Lock()
	s.number++
	id := fmt.Sprintf("%s-%d", service, s.number)
	s.mu.Unlock()
	t, err := platformtest.NewTarget(id, service, service == engines)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.targets = append(s.targets, t)
	s.all = append(s.all, t)
	s.mu.Unlock()
	s.store.PutJSON("servers", id, t.Entry("ready"))
	return nil
}

// replace starts a new target and lets an old one of the service leave.
func (s *Harness) replace(random *rand.Rand) error {
	old := s.anyTarget(random)
	if err := s.addTarget(old.Service); err != nil {
		return err
	}
	s.mu.Lock()
	for i, t := range s.targets {
		if t == old {
			s.targets = append(s.targets[:i:i], s.targets[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	if random.IntN(2) == 0 {
		s.store.PutJSON("servers", old.ID, old.Entry("draining"))
	} else {
		s.store.Delete("servers", old.ID)
	}
	s.mu.Lock()
	s.leaving[old] = time.Now()
	s.mu.Unlock()
	s.note(old.ID + " leaves")
	return nil
}

func (s *Harness) anyTarget(random *rand.Rand) *platformtest.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[random.IntN(len(s.targets))]
}

// wake lets every process go on that may be paused.
func (s *Harness) wake() {
	for _, r := range s.Routers {
		r.Signal(syscall.SIGCONT)
	}
}
