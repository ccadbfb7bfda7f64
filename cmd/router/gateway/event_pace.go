package gateway

import (
	"bytes"
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

// eventPace measures the pauses between the events of a stream as the target writes them.
type eventPace struct {
	samples [paceSamples]time.Duration
	n       int
	// lastAt is when events were last read, and begunAt when the first pause of the samples
	// began.
	lastAt, begunAt time.Time
	// garbled says that something else than events came.
	garbled bool
}

// read records events that were read at a time. It returns the median pause when there are enough
// samples, and whether these were the first events.
func (p *eventPace) read(events []byte, now time.Time) (pause time.Duration, first bool) {
	if p.garbled || !wellFormed(events) {
		p.garbled = true
		return 0, false
	}
	first = p.lastAt.IsZero() && p.begunAt.IsZero()
	if !p.lastAt.IsZero() {
		p.add(now.Sub(p.lastAt) / time.Duration(max(bytes.Count(events, eventEnd), 1)))
	}
	if p.n == 0 {
		p.begunAt = now
	}
	p.lastAt = now
	if p.n < paceSamples && (p.n < minPaceSamples || now.Sub(p.begunAt) < maxPaceTime) {
		return 0, first
	}
	pause = p.median()
	p.n, p.begunAt = 0, now
	return pause, false
}

func (p *eventPace) add(pause time.Duration) {
	if pause >= minPauseSample {
		p.samples[p.n] = pause
		p.n++
	}
}

// median returns the lower median of the samples.
func (p *eventPace) median() time.Duration {
	some := p.samples[:p.n]
	slices.Sort(some)
	return some[(len(some)-1)/2]
}

// written records that the events were written to the caller. If that took long, the target's
// next events had to wait, and the samples are dropped.
func (p *eventPace) written(now time.Time) {
	if now.Sub(p.lastAt) > maxWriteTime {
		p.n = 0
		p.lastAt = time.Time{}
	}
}

// wellFormed reports whether each line of events has a field or is a comment.
func wellFormed(events []byte) bool {
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte("\n"))
		if len(line) > 0 && bytes.IndexByte(line, ':') < 0 {
			return false
		}
		events = rest
	}
	return true
}
