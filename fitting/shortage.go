package fitting

// Shortage is what there is too little of for a request.
type Shortage uint8

// The shortages, in the order in which they are found.
const (
	NoShortage Shortage = iota
	// MemoryShortage means that no engine has room in its KV cache until the request's end.
	MemoryShortage
	// SlotShortage means that the request would wait too long for a slot.
	SlotShortage
	// PrefillShortage means that the prompts ahead take too long.
	PrefillShortage
	// ShareShortage means that the workspace uses far more than its fair share of what is short.
	ShareShortage
)

// String returns the shortage for logs and metrics.
func (s Shortage) String() string {
	switch s {
	case MemoryShortage:
		return "memory"
	case SlotShortage:
		return "slots"
	case PrefillShortage:
		return "prefill"
	case ShareShortage:
		return "share"
	default:
		return "none"
	}
}
