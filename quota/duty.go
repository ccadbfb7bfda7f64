package quota

import (
	"sync"
	"time"

	"vanillalug.example"
)

const (
	// minorityShare is the part of the rate that a router issues that hears no majority of the others.
	// A majority that doesn't hear it issues the whole rate, and the margin of the bound covers both.
	minorityShare = 1.0 / 8
	// minHeard is the part of the routers that must be heard, so that few parts of a divided fleet issue.
	minHeard = 1.0 / 4
	// maxTickGap is the time without a tick after which the router has stood still, so that another one
	// may have taken over.
	maxTickGap = time.Second
	// tickMargin is added to the settle time, as a router learns only at a tick that it is cut off.
	tickMargin = 300 * time.Millisecond
)

// Duty decides whether this router may issue the permits of cold targets. Others may not yet know, or
// know no longer, that it does: therefore it must have heard enough of the fleet for the time in which
// the views of the routers settle, and no router that comes first for the target within that time. It
// is safe for concurrent use.
type Duty struct {
	mu       sync.Mutex
	lastTick time.Time
	// aloneAt is when it last heard too few routers, minorityAt when it last heard no majority.
	aloneAt    time.Time
	minorityAt time.Time
}

// Standing is how a router stands among the others.
type Standing struct {
	// Name is that of the router itself.
	Name string
	// Heard are the other routers that issue permits and were heard of within SettleTime.
	Heard []string
	// SettleTime is the time in which the views of the routers settle.
	SettleTime time.Duration
}

// SettleTime returns the time in which the views of the routers settle, and the permits of an earlier
// issuer are used or void, if a router that isn't heard for a time counts as lost.
func SettleTime(ttl time.Duration) time.Duration {
	return ttl + MaxColdWait + MaxColdPermitAge + tickMargin
}

// Tick records how many routers are heard now, of how many that are known, both with this one. It is
// to be called several times a second.
func (d *Duty) Tick(heard, known int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stoodStill := now.Sub(d.lastTick) > maxTickGap
	d.lastTick = now
	if stoodStill || float64(heard) <= minHeard*float64(known) {
		d.aloneAt = now
	}
	if stoodStill || 2*heard <= known {
		d.minorityAt = now
	}
}

// Share returns the part of the rate that this router may issue for a cold target; 0 if it may not.
func (d *Duty) Share(target TargetKey, s Standing, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastTick) > maxTickGap || now.Sub(d.aloneAt) < s.SettleTime {
		return 0
	}
	if vanillalug.Best(uint64(target), append([]string{s.Name}, s.Heard...)) != s.Name {
		return 0
	}
	if now.Sub(d.minorityAt) < s.SettleTime {
		return minorityShare
	}
	return 1
}
