package fitting

import (
	"sync"
	"time"
)

const (
	// ReportTime is for how long a failure at a router counts.
	ReportTTL = 2 * time.Second
	// toldTime is for how long a router tells its peers of a failure.
	toldTime = 1200 * time.Millisecond
	// minReporters is how many routers must have failed at a target at least.
	minReporters = 3
	// failingShare is the share of the sends to a target that must have failed.
	failingShare = 0.25
	// maxLeftOut is the largest share of a service's targets that are left out on
	// the word of peers; where more fail, the fault may be elsewhere.
	maxLeftOut = 0.5
)

// Reports are the failures at targets, as this router and its peers saw them, so
// that not every router must fail at a target itself. A success of a router
// takes its own report back. It is safe for concurrent use.
type FailureReports struct {
	mu  sync.Mutex
	own map[Key]time.Time
	by  map[Key]map[string]time.Time
}

// self stands for this router among the reporters.
const self = ""

// NewReports returns Reports that know of no failure.
func NewFailureReports() *FailureReports {
	return &FailureReports{own: map[Key]time.Time{}, by: map[Key]map[string]time.Time{}}
}

// Failed takes in a failure of this router's own at a target.
func (r *FailureReports) RecordFailure(k Key, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own[k] = now
	r.add(k, self, now)
}

// Succeeded takes in that the target served this router.
func (r *FailureReports) RecordSuccess(k Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.own, k)
	delete(r.by[k], self)
}

// Hear takes in at which targets a peer has failed lately.
func (r *FailureReports) RecordFromPeer(peer string, failing []Key, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range failing {
		r.add(k, peer, now)
	}
}

func (r *FailureReports) add(k Key, reporter string, now time.Time) {
	if r.by[k] == nil {
		r.by[k] = map[string]time.Time{}
	}
	r.by[k][reporter] = now
}

// Own returns the targets at which this router has failed lately.
func (r *FailureReports) Own(now time.Time) []Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Key
	for k, at := range r.own {
		if now.Sub(at) >= toldTime {
			delete(r.own, k)
			continue
		}
		out = append(out, k)
	}
	return out
}

// Failing reports for each target of a service whether it fails for so many
// routers that it is better left out. The sends are those of all routers to one
// target within ReportTime.
func (r *FailureReports) Failing(keys []Key, sends float64, now time.Time) []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]bool, len(keys))
	if len(r.by) == 0 {
		return out
	}
	needed := max(minReporters, failingShare*sends)
	n := 0
	for i, k := range keys {
		out[i] = float64(r.reporters(k, now)) >= needed
		if out[i] {
			n++
		}
	}
	if float64(n) > maxLeftOut*float64(len(keys)) {
		clear(out)
	}
	return out
}

// reporters counts who has failed at a target lately, and forgets the others.
func (r *FailureReports) reporters(k Key, now time.Time) int {
	reporters, known := r.by[k]
	if !known {
		return 0
	}
	for name, at := range reporters {
		if now.Sub(at) >= ReportTTL {
			delete(reporters, name)
		}
	}
	if len(reporters) == 0 {
		delete(r.by, k)
	}
	return len(reporters)
}
