package allowance

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets of a sliding window.
const windowBuckets = 10

// WindowBudget limits the retries for each service in a sliding window to a ratio
// of the service's requests in the window, plus an equal part for this router of
// an extra that all routers share. It is safe for concurrent use.
type WindowBudget struct {
	mu           sync.Mutex
	start        time.Time
	bucketLength time.Duration
	ratio        float64
	extra        float64
	services     map[string]*usage
}

type usage struct {
	bucket   int64
	requests [windowBuckets]int
	retries  [windowBuckets]int
}

// NewWindowBudget returns a WindowBudget with a window of the given length. The
// extra is the number of retries shared by all routers.
func NewWindowBudget(length time.Duration, ratio, extra float64) *WindowBudget {
	return &WindowBudget{bucketLength: length / windowBuckets, ratio: ratio, extra: extra, services: map[string]*usage{}}
}

// RecordRequest records a request for the service.
func (b *WindowBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	u.requests[u.bucket%windowBuckets]++
}

// Requests returns the number of requests for the service in the window.
func (b *WindowBudget) Requests(service string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, _ := b.usage(service, now).totals()
	return requests
}

// Length returns the length of the window.
func (b *WindowBudget) Length() time.Duration { return b.bucketLength * windowBuckets }

func (u *usage) totals() (requests, retries int) {
	for i := range windowBuckets {
		requests += u.requests[i]
		retries += u.retries[i]
	}
	return requests, retries
}

// Allow reports whether a retry for the service is allowed, and if so records it.
// The extra is divided by the number of routers.
func (b *WindowBudget) Allow(service string, routers int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	requests, retries := u.totals()
	if float64(retries+1) > b.ratio*float64(requests)+b.extra/float64(max(routers, 1)) {
		return false
	}
	u.retries[u.bucket%windowBuckets]++
	return true
}

// usage returns the usage of the service after it has cleared the buckets that
// have left the window.
func (b *WindowBudget) usage(service string, now time.Time) *usage {
	if b.start.IsZero() {
		b.start = now
	}
	bucket := int64(now.Sub(b.start) / b.bucketLength)
	u, ok := b.services[service]
	if !ok {
		u = &usage{bucket: bucket}
		b.services[service] = u
	}
	for i := max(u.bucket+1, bucket-windowBuckets+1); i <= bucket; i++ {
		u.requests[i%windowBuckets] = 0
		u.retries[i%windowBuckets] = 0
	}
	u.bucket = max(u.bucket, bucket)
	return u
}
