package fleet

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"vanillalug.example/platform/platformtest"
)

// The lengths of faults and of the pauses between them.
const (
	minFault   = 200 * time.Millisecond
	maxFault   = 3 * time.Second
	longPause  = 7 * time.Second
	shortPause = 400 * time.Millisecond
	// calmShare is one in so many pauses that is long, so that bounds in time
	// can be checked.
	calmShare = 6
)

// fault is one disturbance. It returns a name for the log and how it is undone.
type fault func(s *Harness, random *rand.Rand) (name string, undo func())

// faults are all disturbances that a Stage injects.
var faults = []fault{killRouter, stopRouter, pauseRouter, hangUp, cutCallers, cutStore, breakStore, spoilTargets, crashTarget, compactStore}

// InjectFaults injects faults one after the other and overlapping, until the time
// is over. Each fault is drawn from the random numbers alone.
func (s *Harness) InjectFaults(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		f := faults[random.IntN(len(faults))]
		length := minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
		calm := s.calm.Begin()
		name, undo := f(s, random)
		s.note(fmt.Sprintf("%s for %s", name, length.Round(time.Millisecond)))
		time.AfterFunc(length, func() {
			undo()
			calm()
		})
		pause := time.Duration(random.Int64N(int64(2 * shortPause)))
		if random.IntN(calmShare) == 0 {
			pause = maxFault + longPause
		}
		time.Sleep(pause)
	}
}

func nothing() {}

func (s *Harness) anyRouter(random *rand.Rand) *Router { return s.Routers[random.IntN(len(s.Routers))] }

func killRouter(s *Harness, random *rand.Rand) (string, func()) {
	r := s.anyRouter(random)
	r.Signal(syscall.SIGKILL)
	return "kill " + r.Name, nothing
}

func stopRouter(s *Harness, random *rand.Rand) (string, func()) {
	r := s.anyRouter(random)
	r.Signal(syscall.SIGTERM)
	return "stop " + r.Name, nothing
}

func pauseRouter(s *Harness, random *rand.Rand) (string, func()) {
	r := s.anyRouter(random)
	r.Signal(syscall.SIGSTOP)
	return "pause " + r.Name, func() { r.Signal(syscall.SIGCONT) }
}

func hangUp(s *Harness, random *rand.Rand) (string, func()) {
	r := s.anyRouter(random)
	r.Signal(syscall.SIGHUP)
	return "reload " + r.Name, nothing
}

func anyMode(random *rand.Rand) Mode {
	return []Mode{Delay, Reset, DropResponses, DropAll}[random.IntN(4)]
}

func cutCallers(s *Harness, random *rand.Rand) (string, func()) {
	r, m := s.anyRouter(random), anyMode(random)
	r.CallerProxy.SetMode(m)
	return fmt.Sprintf("callers of %s: %s", r.Name, m), func() { r.CallerProxy.SetMode(Pass) }
}

func cutStore(s *Harness, random *rand.Rand) (string, func()) {
	r, m := s.anyRouter(random), anyMode(random)
	r.StoreProxy.SetMode(m)
	return fmt.Sprintf("store for %s: %s", r.Name, m), func() { r.StoreProxy.SetMode(Pass) }
}

func breakStore(s *Harness, random *rand.Rand) (string, func()) {
	f := []platformtest.Fault{platformtest.Unavailable, platformtest.Unresponsive, platformtest.Reset}[random.IntN(3)]
	s.store.SetFault(f)
	return "store: " + string(f), func() { s.store.SetFault(platformtest.NoFault) }
}

func compactStore(s *Harness, _ *rand.Rand) (string, func()) {
	s.store.Compact()
	return "store forgets its history", nothing
}

func spoilTargets(s *Harness, random *rand.Rand) (string, func()) {
	t := s.anyTarget(random)
	b := []platformtest.Behaviour{
		platformtest.Shed, platformtest.Fail, platformtest.FailBusy, platformtest.ResetBefore, platformtest.ResetAfter,
		platformtest.HeadOnly, platformtest.Truncate, platformtest.WrongIDFirst, platformtest.ExtraResponse, platformtest.Garbage,
		platformtest.Unframed, platformtest.NoResponse,
	}[random.IntN(12)]
	t.SetDefault(b)
	return fmt.Sprintf("%s: %s", t.ID, b), func() { t.SetDefault(platformtest.Serve) }
}

func crashTarget(s *Harness, random *rand.Rand) (string, func()) {
	t := s.anyTarget(random)
	t.CloseConns()
	return t.ID + " closes its connections", nothing
}
