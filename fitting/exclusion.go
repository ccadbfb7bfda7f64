package fitting

// Exclusion is why a candidate was not taken into account.
type Exclusion uint8

// The exclusions, in the order in which they are applied.
const (
	NotExcluded Exclusion = iota
	// CopySourceOnly is that of a target that takes no new requests.
	CopySourceOnly
	// AlreadyTried is that of a target that the request was sent to before.
	AlreadyTried
	// TargetPaused is that of a target that wants no requests for a time.
	TargetPaused
	// PermitLater is that of a target for which no permit is to be had for a time.
	PermitLater
	// TargetSuspect is that of a target with recent failures.
	TargetSuspect
	// NoRoom is that of all candidates of a request that is refused for lack of room.
	NoRoom
	// MemoryFull is that of an engine without room in its KV cache until the request's end.
	MemoryFull
	// PromptsAhead is that of an engine that takes too long for the prompts that it has yet to read.
	PromptsAhead
	// OverBound is that of a target with more requests than the bound on load allows.
	OverBound
	// OthersNearby is that of a target while idle ones in the router's own failure domain are preferred.
	OthersNearby
)

// String returns the reason for operators, "" if there is none.
func (e Exclusion) String() string {
	switch e {
	case CopySourceOnly:
		return "leaving, only copied from"
	case AlreadyTried:
		return "tried"
	case TargetPaused:
		return "paused"
	case PermitLater:
		return "no permit yet"
	case TargetSuspect:
		return "suspect"
	case NoRoom:
		return "no room"
	case MemoryFull:
		return "no room in memory"
	case PromptsAhead:
		return "prompts ahead"
	case OverBound:
		return "over the bound on load"
	case OthersNearby:
		return "idle targets are nearer"
	default:
		return ""
	}
}

// exclusion returns why the candidate takes no request now, as far as its own state is concerned.
func (c *Candidate) exclusion() Exclusion {
	switch {
	case c.SourceOnly:
		return CopySourceOnly
	case c.Tried:
		return AlreadyTried
	case c.PausedFor > 0:
		return TargetPaused
	case c.PermitIn > 0:
		return PermitLater
	case c.Suspect:
		return TargetSuspect
	}
	return NotExcluded
}
