package crew

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// State is the state that a target reports.
type State uint8

// The states of a target.
const (
	// Ready targets take new work.
	Ready State = iota
	// Draining targets finish the requests in flight and take no new ones.
	Draining
)

// Target is one incarnation of a backend process.
type Target struct {
	id          string
	startMillis int64
	address     string
	place       string
	service     string
	slots       int
	state       State
	sequence    int64
	written     uint64
	// softwareVersion is "" if the target is not known to have stated it.
	softwareVersion string
	// coldRemaining is how much longer the target stays cold, as its entry states; coldKnown says
	// that it does.
	coldRemaining time.Duration
	coldKnown     bool
}

// Option configures a new Target.
type Option func(*Target)

// WithStartMillis sets the start of the incarnation, in Unix milliseconds.
func WithStartMillis(ms int64) Option { return func(t *Target) { t.startMillis = ms } }

// WithPlace sets the failure domain.
func WithPlace(place string) Option { return func(t *Target) { t.place = place } }

// WithSlots sets how many requests run concurrently.
func WithSlots(n int) Option { return func(t *Target) { t.slots = n } }

// WithState sets the state that the target reports.
func WithState(s State) Option { return func(t *Target) { t.state = s } }

// WithSequence sets the number of heartbeats that the target had sent.
func WithSequence(n int64) Option { return func(t *Target) { t.sequence = n } }

// WithWritten sets the number of the store's revision at which the entry was last
// written.
func WithWritten(n uint64) Option { return func(t *Target) { t.written = n } }

// WithSoftwareVersion sets the version of the software that the target runs.
func WithSoftwareVersion(v string) Option { return func(t *Target) { t.softwareVersion = v } }

// WithColdRemaining sets how much longer the target stays cold, as its entry states; 0 is warm.
func WithColdRemaining(d time.Duration) Option {
	return func(t *Target) { t.coldRemaining, t.coldKnown = d, true }
}

// NewTarget returns a target of the service at an IP address and port.
func NewTarget(id, service, address string, opts ...Option) Target {
	t := Target{id: id, service: service, address: address}
	for _, opt := range opts {
		opt(&t)
	}
	return t
}

// ID returns the id under which the target registered.
func (t *Target) ID() string { return t.id }

// StartMillis returns the start of the incarnation, in Unix milliseconds.
func (t *Target) StartMillis() int64 { return t.startMillis }

// Address returns the IP address and port.
func (t *Target) Address() string { return t.address }

// Place returns the failure domain.
func (t *Target) Place() string { return t.place }

// Service returns the name of the service.
func (t *Target) Service() string { return t.service }

// Slots returns how many requests run concurrently.
func (t *Target) Slots() int { return t.slots }

// State returns the state that the target reports.
func (t *Target) State() State { return t.state }

// Sequence returns the number of heartbeats that the target had sent when its entry
// was last written.
func (t *Target) Sequence() int64 { return t.sequence }

// Written returns the number of the store's revision at which the entry was last
// written.
func (t *Target) Written() uint64 { return t.written }

// SoftwareVersion returns the version of the software that the target runs, or "" if it
// is unknown.
func (t *Target) SoftwareVersion() string { return t.softwareVersion }

// ColdRemaining returns how much longer the target stays cold as of its entry, and whether the
// entry states it.
func (t *Target) ColdRemaining() (remaining time.Duration, known bool) {
	return t.coldRemaining, t.coldKnown
}

// reportedSince reports whether the incarnation has reported to the registry since
// its entry was known.
func (t *Target) reportedSince(known Target) bool {
	return t.sequence > known.sequence || t.written > known.written
}

// restartedSince reports whether an entry is of another run than a known one under the same id,
// though neither states its start: the heartbeats are counted anew, or the address is another one.
func (t *Target) restartedSince(known Target) bool {
	if t.startMillis != 0 || known.startMillis != 0 {
		return false
	}
	return t.sequence < known.sequence || known.address != "" && t.address != known.address
}

// raiseCounts keeps the highest counts known of the incarnation: a restored store
// lists lower ones.
func (t *Target) raiseCounts(known Target) {
	t.sequence = max(t.sequence, known.sequence)
	t.written = max(t.written, known.written)
}

// Incarnation identifies the target and its start. A target that restarts under
// its id is another incarnation.
func (t *Target) Incarnation() string { return t.id + "/" + strconv.FormatInt(t.startMillis, 10) }

// ParseIncarnation returns a target of which only the incarnation is known, as Incarnation
// returns it. It returns an *IncarnationError if the text is none.
func ParseIncarnation(s string) (Target, error) {
	end := strings.LastIndexByte(s, '/')
	if end <= 0 {
		return Target{}, &IncarnationError{text: s}
	}
	startMillis, err := strconv.ParseInt(s[end+1:], 10, 64)
	if err != nil {
		return Target{}, &IncarnationError{text: s}
	}
	return NewTarget(s[:end], "", "", WithStartMillis(startMillis)), nil
}

// IncarnationError is returned for a text that identifies no incarnation.
type IncarnationError struct{ text string }

// Error implements error.
func (e *IncarnationError) Error() string { return fmt.Sprintf("%.100q is no incarnation", e.text) }
