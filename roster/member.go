package roster

import "time"

// Member is what a router believes of itself or of one peer.
type Member struct {
	name        string
	address     string
	place       string
	incarnation uint64
	state       State
	since       time.Time
	doubtful    bool
	raisedHere  bool
	deadline    time.Time
}

// NewMember returns an alive member. The incarnation of a process that
// starts again is higher than that of its former run.
func NewMember(name, address, place string, incarnation uint64) Member {
	return Member{name: name, address: address, place: place, incarnation: incarnation}
}

// Name returns the unique name of the router.
func (m Member) Name() string { return m.name }

// Address returns the IP number and port of the peer listener.
func (m Member) Address() string { return m.address }

// Place returns the place of the router.
func (m Member) Place() string { return m.place }

// Incarnation orders the statements about one member.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns what is believed of the member.
func (m Member) State() State { return m.state }

// Since returns when the state was first believed here.
func (m Member) Since() time.Time { return m.since }

// WithState returns a copy in the state.
func (m Member) WithState(s State) Member {
	m.state = s
	return m
}

// Supersedes reports whether a statement replaces another about the same member.
func (m Member) Supersedes(other Member) bool {
	if m.incarnation != other.incarnation {
		return m.incarnation > other.incarnation
	}
	return m.state > other.state
}
