package reception

// FleetStatusBody is a router's response to an operator's request for the status
// of the fleet.
type FleetStatusBody struct {
	From    string             `json:"from"`
	Routers []RouterStatusBody `json:"routers"`
}

// RouterStatusBody is the status of one router. If the router did not respond,
// only the fields up to Error are set.
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
	// EvacuatedPlaces is nil, and left out, if the router's build doesn't state them.
	EvacuatedPlaces []EvacuatedPlaceBody `json:"evacuated-places,omitzero"`
}

// EvacuatedPlaceBody is an evacuated place as one router sees it. EvacuatedMS is nil if
// the router started after the place was evacuated.
type EvacuatedPlaceBody struct {
	Place       string `json:"place"`
	EvacuatedMS *int64 `json:"evacuated-ms,omitempty"`
	InFlight    int    `json:"in-flight"`
}
