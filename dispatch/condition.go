package dispatch

// Condition is whether a target accepts new requests.
type Condition uint8

// The conditions of a target.
const (
	Up Condition = iota
	Down
	Leaving
)

// String returns the condition in lower case.
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
