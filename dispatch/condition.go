package dispatch

// Condition says whether a target takes new work.
type Condition uint8

// The conditions of a target.
const (
	Up Condition = iota
	Down
	Leaving
)

// String returns the condition in kebab case.
func (c Condition) String() string {
	switch c {
	case Up:
		return "up"
	case Down:
		return "down"
	default:
		return "leaving"
	}
}
