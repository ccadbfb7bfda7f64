package crew

import "strconv"

// State is what a target says of itself.
type State uint8

// The states of a target.
const (
	// Ready targets take new work.
	Ready State = iota
	// Leaving targets finish what they have and take nothing new.
	Draining
)

// Target is one lifetime of a back end process.
type Target struct {
	id      string
	born    int64
	address string
	place   string
	service string
	slots   int
	state   State
}

// Option changes a new Target.
type Option func(*Target)

// WithBorn sets the start of the lifetime, in Unix milliseconds.
func WithStartMillis(ms int64) Option { return func(t *Target) { t.born = ms } }

// WithPlace sets the failure domain.
func WithPlace(place string) Option { return func(t *Target) { t.place = place } }

// WithSlots sets how many requests run at once.
func WithSlots(n int) Option { return func(t *Target) { t.slots = n } }

// WithState sets what the target says of itself.
func WithState(s State) Option { return func(t *Target) { t.state = s } }

// NewTarget returns a target of the service at an IP number and port.
func NewTarget(id, service, address string, opts ...Option) Target {
	t := Target{id: id, service: service, address: address}
	for _, opt := range opts {
		opt(&t)
	}
	return t
}

// ID returns the id under which the target registered.
func (t *Target) ID() string { return t.id }

// Born returns the start of the lifetime, in Unix milliseconds.
func (t *Target) StartMillis() int64 { return t.born }

// Address returns the IP number and port.
func (t *Target) Address() string { return t.address }

// Place returns the failure domain.
func (t *Target) Place() string { return t.place }

// Service returns the name of the service.
func (t *Target) Service() string { return t.service }

// Slots returns how many requests run at once.
func (t *Target) Slots() int { return t.slots }

// State returns what the target says of itself.
func (t *Target) State() State { return t.state }

// Lifetime names the target and its start; a target that starts again under
// its id has another one.
func (t *Target) Incarnation() string { return t.id + "/" + strconv.FormatInt(t.born, 10) }
