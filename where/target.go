package where

// Target is a candidate with its state as the router sees it.
type Target struct {
	// Target is the incarnation.
	Target   string `json:"target"`
	Address  string `json:"address"`
	Place    string `json:"place"`
	Software string `json:"software,omitempty"`
	Chosen   bool   `json:"chosen,omitempty"`
	// Excluded is why the target was left out of the choice, "" if it was not.
	Excluded string `json:"excluded,omitempty"`

	Slots    int `json:"slots"`
	Requests int `json:"requests"`
	// OwnRequests are those of the router that answers, which are among Requests.
	OwnRequests   int  `json:"own-requests"`
	PrefillTokens int  `json:"prefill-tokens"`
	KVTokens      int  `json:"kv-tokens"`
	Cached        bool `json:"cached"`
	Suspect       bool `json:"suspect"`
	// FailsForMany says that the target is suspect because many routers report failures.
	FailsForMany bool  `json:"fails-for-many,omitempty"`
	PausedMS     int64 `json:"paused-ms,omitempty"`
	// Permit is nil if the target takes requests without one.
	Permit   *Permit   `json:"permit,omitempty"`
	Estimate *Estimate `json:"estimate,omitempty"`

	// SlotWaitMS and PrefillWaitMS are the predicted waits for a slot and for the prompts ahead.
	SlotWaitMS    float64 `json:"slot-wait-ms"`
	PrefillWaitMS float64 `json:"prefill-wait-ms"`
	// LackingTokens is how many tokens the engine lacks for the request until its end.
	LackingTokens int `json:"lacking-tokens,omitempty"`

	// Probability is that of a draw by weight, Drawn says that the target was drawn to be compared,
	// CostMS is the delay by which targets are compared. Only the rule that chose sets them.
	Probability float64 `json:"probability,omitempty"`
	Drawn       bool    `json:"drawn,omitempty"`
	CostMS      float64 `json:"cost-ms,omitempty"`
}

// Estimate is what the target is expected to do. A figure of 0 is unknown. AgeMS is the age of the newest
// observation; nil if there is none of this target.
type Estimate struct {
	Slowness float64 `json:"slowness"`
	AgeMS    *int64  `json:"age-ms,omitempty"`
	ServedMS float64 `json:"served-ms,omitempty"`
	// FirstEventMS and PauseMS are predicted for this request.
	FirstEventMS float64 `json:"first-event-ms,omitempty"`
	PauseMS      float64 `json:"pause-ms,omitempty"`
	// NoRoom says that the target lately had no room beside as many requests.
	NoRoom bool `json:"no-room,omitempty"`
}

// Permit is why a request needs a permit for a target, and who issues it.
type Permit struct {
	// PerSecond is the limit that the target names; 0 if it names none.
	PerSecond float64 `json:"per-second,omitempty"`
	Brittle   bool    `json:"brittle,omitempty"`
	// ColdMS is how much longer the target is cold, ColdSource where that is known from, ColdPerSecond
	// how many requests a second it takes meanwhile.
	ColdMS        int64   `json:"cold-ms,omitempty"`
	ColdSource    string  `json:"cold-source,omitempty"`
	ColdPerSecond float64 `json:"cold-per-second,omitempty"`
	Issuer        string  `json:"issuer"`
	// AskInMS is the time until it is worth to ask the issuer.
	AskInMS int64 `json:"ask-in-ms,omitempty"`
}

// LeftOut is a target of the service that is no candidate.
type LeftOut struct {
	Target   string `json:"target"`
	Address  string `json:"address"`
	Place    string `json:"place"`
	Software string `json:"software,omitempty"`
	Reason   string `json:"reason"`
}
