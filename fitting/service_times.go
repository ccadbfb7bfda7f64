package fitting

import (
	"sync"
	"time"
)

// paceWeight is the weight of the newest request in the mean.
const paceWeight = 0.1

// Pace knows how long a request of each service usually stays at its target.
// It is safe for concurrent use.
type ServiceTimes struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

// NewPace returns a Pace that knows nothing yet.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{mean: map[string]time.Duration{}} }

// Done counts a request that was served within the time.
func (p *ServiceTimes) Observe(service string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, known := p.mean[service]
	if !known {
		p.mean[service] = d
		return
	}
	p.mean[service] = mean + time.Duration(paceWeight*float64(d-mean))
}

// Of returns the usual time of a request, or 0 while nothing is known.
func (p *ServiceTimes) Mean(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mean[service]
}
