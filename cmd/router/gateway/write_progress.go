package gateway

import (
	"bytes"
	"time"
)

const (
	// beginningEvents and beginningTime are what a target has written, and for how long, when it
	// is beyond the beginning of a stream. The time alone doesn't tell: a router that stood still
	// reads late what was written at once.
	beginningEvents = 8
	beginningTime   = 250 * time.Millisecond
)

// writeProgress is how far the target of one attempt has come with its response. What of it the
// caller has received, or received before from another target, is no part of it.
type writeProgress struct {
	events  int
	firstAt time.Time
	lastAt  time.Time
	// reported is the number of events at which beyondBeginning was last true.
	reported int
}

// add records complete events that were read at a time. It returns true each time that
// beginningEvents more were written, from the end of the beginning.
func (p *writeProgress) add(events []byte, now time.Time) (ranWell bool) {
	if p.events == 0 {
		p.firstAt = now
	}
	p.events += bytes.Count(events, eventEnd)
	p.lastAt = now
	if !p.beyondBeginning() || p.events-p.reported < beginningEvents {
		return false
	}
	p.reported = p.events
	return true
}

// beyondBeginning reports whether the target has written so much that it doesn't crash as it
// begins to write.
func (p *writeProgress) beyondBeginning() bool {
	return p.events >= beginningEvents && p.lastAt.Sub(p.firstAt) >= beginningTime
}
