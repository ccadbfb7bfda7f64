package reception

// FleetStatusBody is the answer of a router to an operator who asks for the
// status of the fleet.
type FleetStatusBody struct {
	From    string             `json:"from"`
	Routers []RouterStatusBody `json:"routers"`
}

// RouterStatusBody is what one router has in force. A router that did not
// answer has only the fields up to Error.
type RouterStatusBody struct {
	Name             string `json:"name"`
	Place            string `json:"place"`
	Address          string `json:"address"`
	Member           string `json:"member"`
	Incarnation      uint64 `json:"incarnation"`
	Answered         bool   `json:"answered"`
	Error            string `json:"error,omitempty"`
	Build            string `json:"build,omitempty"`
	Version          uint64 `json:"version"`
	Digest           string `json:"digest,omitempty"`
	LatestKnown      uint64 `json:"known-version"`
	RulesLevel       int    `json:"rules-level"`
	LowestLevel      int    `json:"lowest-level"`
	HighestLevel     int    `json:"highest-level"`
	UnsupportedLevel int    `json:"unfit-level,omitempty"`
	ActiveMS         int64  `json:"in-force-ms"`
	Ready            bool   `json:"ready"`
	State            string `json:"state,omitempty"`
	OpenRequests     int    `json:"open-requests"`
}
