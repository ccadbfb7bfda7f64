package fleet

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// KillAllRouters kills all routers at once, at some moment before the end time. They start again
// by themselves.
func (h *Harness) KillAllRouters(random *rand.Rand, length time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(length))))
	endFault := h.tracker.Begin()
	name, _ := killAllRouters(h, random)
	h.record(name)
	time.AfterFunc(maxFault, endFault)
}

func killAllRouters(h *Harness, _ *rand.Rand) (string, func()) {
	for _, r := range h.Routers {
		r.Signal(syscall.SIGKILL)
	}
	return "kill all routers", noUndo
}
