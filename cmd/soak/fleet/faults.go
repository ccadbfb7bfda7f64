package fleet

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"vanillalug.example/platform/platformtest"
)

// The durations of faults and of the pauses between them.
const (
	minFault   = 200 * time.Millisecond
	maxFault   = 3 * time.Second
	longPause  = 7 * time.Second
	shortPause = 400 * time.Millisecond
	// longPauseOneIn makes one pause in so many long, so that time limits can be
	// checked.
	longPauseOneIn = 6
)

// fault injects one fault. It returns the name for the event log and a function
// that ends the fault.
type fault func(h *Harness, random *rand.Rand) (name string, undo func())

// faults are the faults that InjectFaults chooses from.
var faults = []fault{killRouter, stopRouter, pauseRouter, reloadRouter, disruptCallers, disruptStoreLink, failStore, corruptTarget, closeTargetConns, compactStore, pauseTarget}

// InjectFaults injects faults, which may overlap, until the end time. The choice
// of faults and times depends on the random numbers only.
func (h *Harness) InjectFaults(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		h.inject(faults[random.IntN(len(faults))], random)
		pause := time.Duration(random.Int64N(int64(2 * shortPause)))
		if random.IntN(longPauseOneIn) == 0 {
			pause = maxFault + longPause
		}
		time.Sleep(pause)
	}
}

// inject begins a fault and ends it after a random time.
func (h *Harness) inject(f fault, random *rand.Rand) {
	length := minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
	endFault := h.tracker.Begin()
	name, undo := f(h, random)
	h.record(fmt.Sprintf("%s for %s", name, length.Round(time.Millisecond)))
	time.AfterFunc(length, func() {
		undo()
		endFault()
	})
}

func noUndo() {}

func (h *Harness) randomRouter(random *rand.Rand) *Router {
	return h.Routers[random.IntN(len(h.Routers))]
}

func killRouter(h *Harness, random *rand.Rand) (string, func()) {
	r := h.randomRouter(random)
	r.Signal(syscall.SIGKILL)
	return "kill " + r.Name, noUndo
}

func stopRouter(h *Harness, random *rand.Rand) (string, func()) {
	r := h.randomRouter(random)
	r.Signal(syscall.SIGTERM)
	return "stop " + r.Name, noUndo
}

func pauseRouter(h *Harness, random *rand.Rand) (string, func()) {
	r := h.randomRouter(random)
	r.Signal(syscall.SIGSTOP)
	return "pause " + r.Name, func() { r.Signal(syscall.SIGCONT) }
}

func reloadRouter(h *Harness, random *rand.Rand) (string, func()) {
	r := h.randomRouter(random)
	r.Signal(syscall.SIGHUP)
	return "reload " + r.Name, noUndo
}

func randomMode(random *rand.Rand) Mode {
	return []Mode{Delay, Reset, DropResponses, DropAll}[random.IntN(4)]
}

func disruptCallers(h *Harness, random *rand.Rand) (string, func()) {
	r, m := h.randomRouter(random), randomMode(random)
	end := r.callerLink.Begin()
	r.CallerProxy.SetMode(m)
	return fmt.Sprintf("callers of %s: %s", r.Name, m), func() {
		r.CallerProxy.SetMode(Pass)
		end()
	}
}

func disruptStoreLink(h *Harness, random *rand.Rand) (string, func()) {
	r, m := h.randomRouter(random), randomMode(random)
	end := r.storeLink.Begin()
	r.StoreProxy.SetMode(m)
	return fmt.Sprintf("store for %s: %s", r.Name, m), func() {
		r.StoreProxy.SetMode(Pass)
		end()
	}
}

func failStore(h *Harness, random *rand.Rand) (string, func()) {
	f := []platformtest.Fault{platformtest.Unavailable, platformtest.Unresponsive, platformtest.Reset}[random.IntN(3)]
	end := h.contact.storeFaults.Begin()
	h.store.SetFault(f)
	return "store: " + string(f), func() {
		h.store.SetFault(platformtest.NoFault)
		end()
	}
}

func compactStore(h *Harness, _ *rand.Rand) (string, func()) {
	defer h.contact.storeReplaced.Begin()()
	h.store.Compact()
	return "store compacts its history", noUndo
}

func corruptTarget(h *Harness, random *rand.Rand) (string, func()) {
	t := h.randomTarget(random)
	b := []platformtest.Behaviour{
		platformtest.Shed, platformtest.Fail, platformtest.FailBusy, platformtest.ResetBefore, platformtest.ResetAfter,
		platformtest.HeadOnly, platformtest.Truncate, platformtest.WrongIDFirst, platformtest.ExtraResponse, platformtest.Garbage,
		platformtest.Unframed, platformtest.NoResponse,
	}[random.IntN(12)]
	end := h.targetFault(t).Begin()
	t.SetDefault(b)
	return fmt.Sprintf("%s: %s", t.ID, b), func() {
		t.SetDefault(platformtest.Serve)
		end()
	}
}

// pauseTarget makes a target reject requests and ask for a pause that is longer than
// the fault.
func pauseTarget(h *Harness, random *rand.Rand) (string, func()) {
	t := h.randomTarget(random)
	pause := []string{"0.8", "2", "4.5"}[random.IntN(3)]
	end := h.targetFault(t).Begin()
	t.SetRetryAfter(pause)
	t.SetDefault(platformtest.Shed)
	return fmt.Sprintf("%s wants no requests for %s s", t.ID, pause), func() {
		t.SetDefault(platformtest.Serve)
		t.SetRetryAfter("")
		end()
	}
}

func closeTargetConns(h *Harness, random *rand.Rand) (string, func()) {
	t := h.randomTarget(random)
	defer h.targetFault(t).Begin()()
	t.CloseConns()
	return t.ID + " closes its connections", noUndo
}

// targetFault returns the tracker of a target's faults.
func (h *Harness) targetFault(t *platformtest.Target) *FaultTracker {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targetFaults[t] == nil {
		h.targetFaults[t] = &FaultTracker{}
	}
	return h.targetFaults[t]
}
