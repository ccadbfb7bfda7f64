package capacity

import "time"

// TargetKey identifies an incarnation of a target.
type TargetKey uint64

// Observation is something that this router saw of a target.
type Observation interface{ observation() }

// FirstEvent is the time until the first event of a stream, and the prompt tokens that the target
// had to read before it, as far as the router knows.
type FirstEvent struct {
	Tokens int
	Took   time.Duration
}

// Pause is a typical pause between events of a stream, and the requests that ran at the target.
type Pause struct {
	Each  time.Duration
	Batch int
}

// Served is the time that a plain request took.
type Served struct{ Took time.Duration }

// Refused says that the target had no room for a request beside others.
type Refused struct{ Beside int }

// Stated is how long work takes at the moment, in percent of the usual, as the target stated it.
type Stated struct{ Percent int }

func (FirstEvent) observation() {}
func (Pause) observation()      {}
func (Served) observation()     {}
func (Refused) observation()    {}
func (Stated) observation()     {}

const (
	// minTokens is the shortest prompt that tells the rate at which prompts are read; shorter
	// ones take about as long as the first event itself.
	minTokens = 800
	// firstEventDelay is the time from the end of prefill to the first event, in milliseconds.
	firstEventDelay = 24.0
	// minPause, maxPause and maxServed bound what is believed, in milliseconds.
	minPause  = 1.0
	maxPause  = 30_000.0
	maxServed = 300_000.0
	// minRate and maxRate bound the rate at which prompts are read, in tokens per millisecond.
	minRate = 0.05
	maxRate = 10_000.0
	// maxBatch bounds the requests that run at a target.
	maxBatch = 100_000
)

// milliseconds returns a duration as a number of milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// within reports whether a figure is a number between two bounds.
func within(v, lowest, highest float64) bool { return v >= lowest && v <= highest }
