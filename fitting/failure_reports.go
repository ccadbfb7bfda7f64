package fitting

import (
	"sync"
	"time"
)

const (
	// ReportTTL is how long a failure that a router reported counts.
	ReportTTL = 2 * time.Second
	// ownReportTTL is how long a router reports a failure of its own to its
	// peers.
	ownReportTTL = 1200 * time.Millisecond
	// minReporters is the smallest number of routers that must report failures
	// of a target.
	minReporters = 3
	// failureShare is the share of the sends to a target that must have failed.
	failureShare = 0.25
	// maxExcludedShare is the largest share of a service's targets that are
	// excluded on the reports of peers. If more of them fail, the fault may be
	// elsewhere.
	maxExcludedShare = 0.5
)

// FailureReports holds the failures of targets as reported by this router and
// its peers, so that a router avoids a failing target before its own requests
// fail there. A success withdraws the router's own report. It is safe for
// concurrent use.
type FailureReports struct {
	mu         sync.Mutex
	own        map[Key]time.Time
	reportedBy map[Key]map[string]time.Time
}

// self stands for this router among the reporters.
const self = ""

// NewFailureReports returns FailureReports without any failure.
func NewFailureReports() *FailureReports {
	return &FailureReports{own: map[Key]time.Time{}, reportedBy: map[Key]map[string]time.Time{}}
}

// RecordFailure records that a request of this router failed at a target.
func (r *FailureReports) RecordFailure(k Key, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own[k] = now
	r.add(k, self, now)
}

// RecordSuccess withdraws this router's own report about a target.
func (r *FailureReports) RecordSuccess(k Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.own, k)
	delete(r.reportedBy[k], self)
}

// WithdrawOwn withdraws all reports of this router itself.
func (r *FailureReports) WithdrawOwn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.own {
		delete(r.reportedBy[k], self)
	}
	clear(r.own)
}

// RecordFromPeer records the targets that a peer reports as failing.
func (r *FailureReports) RecordFromPeer(peer string, failing []Key, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range failing {
		r.add(k, peer, now)
	}
}

func (r *FailureReports) add(k Key, reporter string, now time.Time) {
	if r.reportedBy[k] == nil {
		r.reportedBy[k] = map[string]time.Time{}
	}
	r.reportedBy[k][reporter] = now
}

// Own returns the targets that this router reports as failing, and drops expired
// reports.
func (r *FailureReports) Own(now time.Time) []Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Key
	for k, at := range r.own {
		if now.Sub(at) >= ownReportTTL {
			delete(r.own, k)
			continue
		}
		out = append(out, k)
	}
	return out
}

// Failing reports for each target of a service whether enough routers report
// failures to exclude it. The sends are those of all routers to one target
// within ReportTTL.
func (r *FailureReports) Failing(keys []Key, sends float64, now time.Time) []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]bool, len(keys))
	if len(r.reportedBy) == 0 {
		return out
	}
	needed := max(minReporters, failureShare*sends)
	n := 0
	for i, k := range keys {
		out[i] = float64(r.countReporters(k, now)) >= needed
		if out[i] {
			n++
		}
	}
	if float64(n) > maxExcludedShare*float64(len(keys)) {
		clear(out)
	}
	return out
}

// countReporters counts the routers with a current report about a target, and
// drops expired reports.
func (r *FailureReports) countReporters(k Key, now time.Time) int {
	reporters, known := r.reportedBy[k]
	if !known {
		return 0
	}
	for name, at := range reporters {
		if now.Sub(at) >= ReportTTL {
			delete(reporters, name)
		}
	}
	if len(reporters) == 0 {
		delete(r.reportedBy, k)
	}
	return len(reporters)
}
