package roster

// State is the state of a member. Within one incarnation a higher state replaces
// a lower one, never the reverse.
type State uint8

// The states of a member, in ascending order.
const (
	Alive State = iota
	Suspect
	Leaving
	Gone
)

// String returns the state as it appears in logs and metrics.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "gone"
	}
}
