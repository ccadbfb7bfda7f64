package fitting

import (
	"sync"
	"time"
)

// meanWeight is the weight of the newest request in the exponential moving
// average.
const meanWeight = 0.1

// ServiceTimes holds the mean time that a request of each service spends at its
// target. It is safe for concurrent use.
type ServiceTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

// NewServiceTimes returns an empty ServiceTimes.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{means: map[string]time.Duration{}} }

// Observe adds the service time of a request that was served.
func (t *ServiceTimes) Observe(service string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, known := t.means[service]
	if !known {
		t.means[service] = d
		return
	}
	t.means[service] = mean + time.Duration(meanWeight*float64(d-mean))
}

// Mean returns the mean service time, or 0 if none was observed.
func (t *ServiceTimes) Mean(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.means[service]
}
