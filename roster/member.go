package roster

import "time"

// Member is an entry of a router's membership view: the router itself or a peer.
type Member struct {
	name          string
	address       string
	place         string
	incarnation   uint64
	state         State
	since         time.Time
	unresponsive  bool
	suspectedHere bool
	deadline      time.Time
}

// NewMember returns an alive member. A restarted process has a higher incarnation
// than before.
func NewMember(name, address, place string, incarnation uint64) Member {
	return Member{name: name, address: address, place: place, incarnation: incarnation}
}

// Name returns the unique name of the router.
func (m Member) Name() string { return m.name }

// Address returns the IP address and port of the peer listener.
func (m Member) Address() string { return m.address }

// Place returns the place of the router.
func (m Member) Place() string { return m.place }

// Incarnation returns the incarnation number, which orders the updates about one
// member.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns the state of the member.
func (m Member) State() State { return m.state }

// Since returns when this router set the state.
func (m Member) Since() time.Time { return m.since }

// WithState returns a copy with the state.
func (m Member) WithState(s State) Member {
	m.state = s
	return m
}

// Supersedes reports whether an update replaces another about the same member.
func (m Member) Supersedes(other Member) bool {
	if m.incarnation != other.incarnation {
		return m.incarnation > other.incarnation
	}
	return m.state > other.state
}
