package roster

// State is what is believed of a member. Within one incarnation a higher
// state replaces a lower one, never the other way.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Leaving
	Gone
)

// String returns the state in kebab case.
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
