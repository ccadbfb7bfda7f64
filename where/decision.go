package where

// Outcome is what would happen to a request.
type Outcome string

// The outcomes.
const (
	// ToTarget sends the request to a target.
	ToTarget Outcome = "target"
	// ToPeer sends it through another router.
	ToPeer Outcome = "peer"
	// Refused answers it without running it.
	Refused Outcome = "refused"
	// Unknown depends on what other routers and the store tell, which are not asked.
	Unknown Outcome = "unknown"
)

// Decision is what would happen to a request.
type Decision struct {
	Outcome Outcome `json:"outcome"`
	// Target and Address are those of the target, or of the peer.
	Target  string `json:"target,omitempty"`
	Address string `json:"address,omitempty"`
	// Rule says why, or why the request is refused.
	Rule string `json:"rule"`
	// Draw says that the choice depends on a random number: the next request may go elsewhere. Random is
	// the number that the next request gets, in decimal digits.
	Draw   bool   `json:"draw"`
	Random string `json:"random,omitempty"`
	// OnlySuspects says that no other target than suspect ones is left.
	OnlySuspects bool `json:"only-suspects,omitempty"`
	// CopyFrom is the target from which the chosen one may copy the prompt.
	CopyFrom string `json:"copy-from,omitempty"`
	// NeedsPermit says that the request goes there only with a permit, for which it may wait.
	NeedsPermit  bool    `json:"needs-permit,omitempty"`
	PermitWaitMS float64 `json:"permit-wait-ms,omitempty"`

	// Status and RetryAfter (in seconds, as in the header) are those of the refusal, Shortage what there
	// is too little of, Detail what the log would have.
	Status     int    `json:"status,omitempty"`
	RetryAfter string `json:"retry-after,omitempty"`
	Shortage   string `json:"shortage,omitempty"`
	Detail     string `json:"detail,omitempty"`
}
