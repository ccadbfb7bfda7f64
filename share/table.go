package share

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// timeConstant is the time in which usage decays to 1/e.
	timeConstant = 3 * time.Second
	// negligibleCost is the cost a second below which a user is forgotten.
	negligibleCost = 1e-3
	// MaxReported is the number of usages that a router reports to its peers: of its largest users.
	MaxReported = 16
	// maxOwn limits the users of this router, maxPeers the peers with reports.
	maxOwn   = 4096
	maxPeers = 1024
	// levelAge is how old the fair shares may be, which are computed from all reports.
	levelAge = 100 * time.Millisecond
	// reclaimed is the part of the room in use that is to become free by holding the largest users
	// to their shares.
	reclaimed = 0.5
)

// Table holds the recent usage of each service by workspace. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	own   map[user]measured
	peers map[string]report
	// levels are the fair shares of each service as of the time.
	levels   map[Key]service
	levelsAt time.Time
}

// measured is a decaying cost a second as of a time.
type measured struct {
	cost float64
	at   time.Time
}

func (m measured) now(now time.Time) float64 { return m.cost * decay(now.Sub(m.at)) }

// report is what a peer reported at a time.
type report struct {
	usages []Usage
	at     time.Time
}

// service holds the usage of a service by workspace and its fair share.
type service struct {
	usage map[Key]float64
	level float64
}

// NewTable returns a Table without any usage.
func NewTable() *Table { return &Table{own: map[user]measured{}, peers: map[string]report{}} }

// Record adds the cost of a request that this router admits.
func (t *Table) Record(workspace, service Key, cost float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := user{workspace: workspace, service: service}
	m, known := t.own[u]
	if !known && len(t.own) >= maxOwn {
		t.forget(now)
	}
	if !known && len(t.own) >= maxOwn {
		return
	}
	t.own[u] = measured{cost: m.now(now) + cost/timeConstant.Seconds(), at: now}
}

// forget removes users whose usage has decayed.
func (t *Table) forget(now time.Time) {
	for u, m := range t.own {
		if m.now(now) < negligibleCost {
			delete(t.own, u)
		}
	}
}

// Own returns the usage of the largest users through this router, for its peers.
func (t *Table) Own(now time.Time) []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	out := make([]Usage, 0, len(t.own))
	for u, m := range t.own {
		out = append(out, Usage{user: u, cost: m.now(now)})
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.cost, a.cost), cmp.Compare(a.user.workspace, b.user.workspace), cmp.Compare(a.user.service, b.user.service))
	})
	return out[:min(len(out), MaxReported)]
}

// RecordFromPeer replaces what a peer reported. Entries over MaxReported and invalid ones are
// ignored.
func (t *Table) RecordFromPeer(peer string, usages []Usage, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.peers[peer]; !known && len(t.peers) >= maxPeers {
		return
	}
	valid := slices.DeleteFunc(slices.Clone(usages[:min(len(usages), MaxReported)]), func(u Usage) bool {
		return !(u.cost > 0) || math.IsInf(u.cost, 0)
	})
	if len(valid) == 0 {
		delete(t.peers, peer)
		return
	}
	t.peers[peer] = report{usages: valid, at: now}
}

// Overuse returns the usage of a workspace as a multiple of its fair share of the service: above 1
// if it uses more. It is 0 if nothing is known.
func (t *Table) Overuse(workspace, service Key, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.levels == nil || now.Sub(t.levelsAt) > levelAge || now.Before(t.levelsAt) {
		t.levels, t.levelsAt = t.sum(now), now
	}
	s := t.levels[service]
	if s.level <= 0 {
		return 0
	}
	return s.usage[workspace] / s.level
}

// sum adds up the usage at all routers and computes the fair share of each service.
func (t *Table) sum(now time.Time) map[Key]service {
	out := map[Key]service{}
	add := func(u user, cost float64) {
		if cost < negligibleCost {
			return
		}
		s, ok := out[u.service]
		if !ok {
			s.usage = map[Key]float64{}
			out[u.service] = s
		}
		s.usage[u.workspace] += cost
	}
	for u, m := range t.own {
		add(u, m.now(now))
	}
	for name, r := range t.peers {
		part := decay(now.Sub(r.at))
		if now.Sub(r.at) > maxReportAge {
			delete(t.peers, name)
			continue
		}
		for _, u := range r.usages {
			add(u.user, u.cost*part)
		}
	}
	for key, s := range out {
		s.level = fairShare(s.usage)
		out[key] = s
	}
	return out
}

// maxReportAge is the time after which the report of a peer has decayed.
const maxReportAge = 5 * timeConstant

// fairShare returns the cost a second above which the largest users have to shrink so that a part
// of the room becomes free.
func fairShare(usage map[Key]float64) float64 {
	total := 0.0
	demands := make([]demand, 0, len(usage))
	for _, cost := range usage {
		total += cost
		demands = append(demands, demand{cost: cost, weight: 1})
	}
	return level((1-reclaimed)*total, demands)
}

func decay(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / timeConstant.Seconds())
}
