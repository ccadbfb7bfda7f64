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
	suspicion      time.Duration
	pauseThreshold time.Duration
	intN           func(n int) int
}

// Option changes a new Roster.
type Option func(*options)

// WithSuspicionTimeout sets how long a suspected member has to refute the
// suspicion.
func WithSuspicionTimeout(d time.Duration) Option {
	return func(o *options) { o.suspicion = d }
}

// WithPauseThreshold sets the gap between two ticks above which the process
// counts as paused.
func WithPauseThreshold(d time.Duration) Option {
	return func(o *options) { o.pauseThreshold = d }
}

// WithIntN sets the source of random numbers; it returns a number in [0, n).
func WithIntN(intN func(n int) int) Option {
	return func(o *options) { o.intN = intN }
}
