package capacity

import (
	"slices"
	"time"
)

const (
	// paceSamples is the number of pauses of which the median is observed, minPaceSamples that
	// after maxPaceTime, so that a slow target is noticed as soon. The median leaves out a
	// pause in which the target read one long prompt.
	paceSamples    = 5
	minPaceSamples = 3
	maxPaceTime    = 300 * time.Millisecond
	// minPauseSample is the shortest pause that counts; shorter ones are between events that
	// had waited for the router.
	minPauseSample = 2 * time.Millisecond
	// maxWriteTime is the time to write events to a caller beyond which it is the caller that
	// delays the stream, so that the next pause doesn't count.
	maxWriteTime = 5 * time.Millisecond
)

// Pace measures the pauses between the events of a stream as the target writes them.
type Pace struct {
	samples [paceSamples]time.Duration
	n       int
	// lastAt is when events were last read, and begunAt when the first pause of the samples
	// began.
	lastAt, begunAt time.Time
	// broken says that something else than events came, after which nothing counts.
	broken bool
}

// Read records that a number of events were read at a time. It returns the median pause when there
// are enough samples, otherwise 0, and whether these were the first events.
func (p *Pace) Read(events int, now time.Time) (pause time.Duration, first bool) {
	if p.broken {
		return 0, false
	}
	first = p.begunAt.IsZero()
	if !p.lastAt.IsZero() {
		p.add(now.Sub(p.lastAt) / time.Duration(max(events, 1)))
	}
	if p.n == 0 {
		p.begunAt = now
	}
	p.lastAt = now
	if p.n < minPaceSamples || p.n < paceSamples && now.Sub(p.begunAt) < maxPaceTime {
		return 0, first
	}
	pause = p.median()
	p.n, p.begunAt = 0, now
	return pause, false
}

func (p *Pace) add(pause time.Duration) {
	if pause >= minPauseSample {
		p.samples[p.n] = pause
		p.n++
	}
}

// median returns the lower median of the samples.
func (p *Pace) median() time.Duration {
	some := p.samples[:p.n]
	slices.Sort(some)
	return some[(len(some)-1)/2]
}

// Written records that the events were written to the caller. If that took long, the target's
// next events had to wait for the caller, and the samples are dropped.
func (p *Pace) Written(now time.Time) {
	if now.Sub(p.lastAt) > maxWriteTime {
		p.n = 0
		p.lastAt = time.Time{}
	}
}

// Break ends the measurement, as what the target writes are no events.
func (p *Pace) Break() { p.broken = true }
