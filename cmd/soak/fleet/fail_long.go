package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// failLongInterval is the mean time between two targets that fail requests with long responses.
	failLongInterval = time.Second
	// maxLongFailures is how many requests in a row one fails at most, and failLongTime for how long.
	maxLongFailures = 6
	failLongTime    = 700 * time.Millisecond
)

// FailLong makes targets fail requests that they run with responses that routers don't buffer, until the end time.
func (h *Harness) FailLong(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(failLongInterval/2 + time.Duration(random.Int64N(int64(failLongInterval))))
		t, n := h.randomTarget(random), 1+random.IntN(maxLongFailures)
		for range n {
			t.Enqueue([]platformtest.Behaviour{platformtest.FailLong, platformtest.FailBusyLong}[random.IntN(2)])
		}
		h.record(fmt.Sprintf("%s fails %d requests with long responses", t.ID, n))
		end := h.targetFault(t).Begin()
		time.Sleep(failLongTime)
		t.DropQueued()
		end()
	}
}
