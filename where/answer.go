package where

import "time"

// Answer says where a request would go now, and why. Times are in milliseconds.
type Answer struct {
	Router string    `json:"router"`
	Place  string    `json:"place"`
	At     time.Time `json:"at"`
	// Match is how the request is classified, as far as it is.
	Match Match `json:"match"`
	// Room is the state of the service that decides about room; nil without a service.
	Room *Room `json:"room,omitempty"`
	// Targets are the candidates, LeftOut the targets of the service that are none.
	Targets []Target  `json:"targets"`
	LeftOut []LeftOut `json:"left-out"`
	// Unlisted is the number of targets that are not listed, as there are too many.
	Unlisted int      `json:"unlisted,omitempty"`
	Decision Decision `json:"decision"`
}

// Match is how a request is classified.
type Match struct {
	TableVersion uint64 `json:"table-version,omitempty"`
	Method       string `json:"method"`
	Host         string `json:"host"`
	Path         string `json:"path"`
	Route        string `json:"route,omitempty"`
	Kind         string `json:"kind,omitempty"`
	Workspace    string `json:"workspace,omitempty"`
	Priority     int    `json:"priority"`
	Service      string `json:"service,omitempty"`
	// Split has the services of a route that has several: the attempt id decides among them.
	Split       []Weight `json:"split,omitempty"`
	TimeoutMS   int64    `json:"timeout-ms,omitempty"`
	ObjectiveMS int64    `json:"objective-ms,omitempty"`
	// PromptTokens, ExpectedOutput and SharedTokens are those of the prompt, of the output that is
	// expected, and of the longest part of the prompt that requests share.
	PromptTokens   int `json:"prompt-tokens,omitempty"`
	ExpectedOutput int `json:"expected-output,omitempty"`
	SharedTokens   int `json:"shared-tokens,omitempty"`
	// Prompt is the key of the shared parts of the prompt, in hex digits.
	Prompt string `json:"prompt,omitempty"`
	// Software is the software version at which the stream that goes on began.
	Software string `json:"software,omitempty"`
}

// Weight is a service with its weight in a route.
type Weight struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Room is the state of a service that decides whether a request has room.
type Room struct {
	// Slots and KVCapacity are those of an engine; 0 for a plain service.
	Slots      int `json:"slots,omitempty"`
	KVCapacity int `json:"kv-capacity,omitempty"`
	// KVTokens is what the request needs where its prompt is not cached.
	KVTokens int `json:"kv-tokens,omitempty"`
	// ServiceTimeMS is the mean time of a request, PrefillMS that of a thousand prompt tokens; 0 is
	// unknown.
	ServiceTimeMS float64 `json:"service-time-ms"`
	PrefillMS     float64 `json:"prefill-ms,omitempty"`
	// RefusingMS is for how long requests of the service have been refused.
	RefusingMS int64 `json:"refusing-ms"`
	// Overuse is what the workspace used lately, as a multiple of its fair share; 0 is unknown.
	Overuse float64 `json:"overuse"`
	// MaxWaitMS is how long the request may wait for room.
	MaxWaitMS float64 `json:"max-wait-ms"`
	// Requests is the number of requests at all candidates.
	Requests int `json:"requests"`
}
