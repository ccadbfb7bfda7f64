package roster

import "time"

// The default timing of the membership protocol.
const (
	ProbeInterval     = 500 * time.Millisecond
	ProbeTimeout      = 400 * time.Millisecond
	IndirectTimeout   = 500 * time.Millisecond
	SuspicionTimeout  = 1200 * time.Millisecond
	PauseThreshold    = 1500 * time.Millisecond
	goneRetention     = 10 * time.Minute
	indirectProbers   = 3
	updatesPerMessage = 16
	retransmitFactor  = 3
)

type options struct {
	suspicion  time.Duration
	pauseLimit time.Duration
	pick       func(n int) int
}

// Option changes a new Roster.
type Option func(*options)

// WithSuspicionTimeout sets how long a suspected member has to refute.
func WithSuspicionTimeout(d time.Duration) Option {
	return func(o *options) { o.suspicion = d }
}

// WithPauseThreshold sets the gap between ticks that counts as a pause.
func WithPauseThreshold(d time.Duration) Option {
	return func(o *options) { o.pauseLimit = d }
}

// WithIntN sets the source of random numbers; it returns one of 0 to n-1.
func WithIntN(pick func(n int) int) Option {
	return func(o *options) { o.pick = pick }
}
