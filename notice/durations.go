package notice

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of the newest request in the moving averages of
	// durations and of their deviations, and deviations how many of these are added to the mean, as
	// for the retransmission timeout of TCP.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
	// maxKinds bounds the kinds of requests that are known.
	maxKinds = 512
)

// Durations has how long requests of each kind took. It is safe for concurrent use.
type Durations struct {
	mu    sync.Mutex
	kinds map[string]duration
}

type duration struct{ mean, deviation float64 }

// NewDurations returns an empty Durations.
func NewDurations() *Durations { return &Durations{kinds: map[string]duration{}} }

// Observe adds the duration of a request that was served.
func (d *Durations) Observe(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, found := d.kinds[kind]
	if !found {
		d.makeRoom()
		d.kinds[kind] = duration{mean: float64(took), deviation: float64(took) / 2}
		return
	}
	off := float64(took) - known.mean
	known.deviation += deviationWeight * (max(off, -off) - known.deviation)
	known.mean += meanWeight * off
	d.kinds[kind] = known
}

// Upper returns how long nearly all requests of a kind take at most, or 0 if that isn't known.
func (d *Durations) Upper(kind string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.kinds[kind]
	return time.Duration(known.mean + deviations*known.deviation)
}

// makeRoom forgets any kind if there are as many as may be.
func (d *Durations) makeRoom() {
	if len(d.kinds) < maxKinds {
		return
	}
	for kind := range d.kinds {
		delete(d.kinds, kind)
		return
	}
}
