package allowance

import (
	"sync"
	"time"
)

// windowBuckets is the number of steps in which a Window slides.
const windowBuckets = 10

// WindowBudget bounds the repeated sends for each service in any span of a length:
// a share of the service's requests in that span and a fixed extra, of which
// this router has its part. It is safe for concurrent use.
type WindowBudget struct {
	mu       sync.Mutex
	start    time.Time
	step     time.Duration
	ratio    float64
	extra    float64
	services map[string]*usage
}

type usage struct {
	at       int64
	requests [windowBuckets]int
	repeats  [windowBuckets]int
}

// NewWindowBudget returns a Window for spans of the length. The extra is that of all
// routers together.
func NewWindowBudget(length time.Duration, ratio, extra float64) *WindowBudget {
	return &WindowBudget{step: length / windowBuckets, ratio: ratio, extra: extra, services: map[string]*usage{}}
}

// RecordRequest counts a request for the service.
func (w *WindowBudget) RecordRequest(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.usage(service, now)
	u.requests[u.at%windowBuckets]++
}

// Requests returns how many requests for the service were counted within the
// length of a span.
func (w *WindowBudget) Requests(service string, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	requests, _ := w.usage(service, now).sums()
	return requests
}

// Length returns the length of the spans.
func (w *WindowBudget) Length() time.Duration { return w.step * windowBuckets }

func (u *usage) sums() (requests, repeats int) {
	for i := range windowBuckets {
		requests += u.requests[i]
		repeats += u.repeats[i]
	}
	return requests, repeats
}

// Allow reports whether a repeated send to the service is allowed, and counts
// it. The number of routers shares the extra.
func (w *WindowBudget) Allow(service string, routers int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.usage(service, now)
	requests, repeats := u.sums()
	if float64(repeats+1) > w.ratio*float64(requests)+w.extra/float64(max(routers, 1)) {
		return false
	}
	u.repeats[u.at%windowBuckets]++
	return true
}

// usage returns the usage of the service with the steps that have passed cleared.
func (w *WindowBudget) usage(service string, now time.Time) *usage {
	if w.start.IsZero() {
		w.start = now
	}
	at := int64(now.Sub(w.start) / w.step)
	u, ok := w.services[service]
	if !ok {
		u = &usage{at: at}
		w.services[service] = u
	}
	for i := max(u.at+1, at-windowBuckets+1); i <= at; i++ {
		u.requests[i%windowBuckets] = 0
		u.repeats[i%windowBuckets] = 0
	}
	u.at = max(u.at, at)
	return u
}
