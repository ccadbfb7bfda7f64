package enginetest

import "time"

// Class is a type of request.
type Class struct {
	Name string
	// Rate is the arrival rate in requests per second.
	Rate float64
	// SharedTokens is the length of the prompt part that requests share, and
	// OwnTokens that of the rest.
	SharedTokens, OwnTokens int
	// SharedPrompts is the number of different shared prompts.
	SharedPrompts int
	// OutputTokens is the length of the response.
	OutputTokens int
	// FirstTokenGoal is the latency objective of the first token. Callers
	// disconnect if it has not arrived within FirstTokenTimeout, or the whole
	// response within Timeout.
	FirstTokenGoal, FirstTokenTimeout, Timeout time.Duration
	// Rank is the priority rank in a deployment without Ranks.
	Rank int
}

// Deployment describes the simulated routers, engines and load.
type Deployment struct {
	Routers, Engines int
	// ShareGroups is the number of groups into which a router divides its peers; one
	// group gets its loads in each interval. 0 means 1.
	ShareGroups int
	// Slots is the batch size of an engine, Queue the capacity of its queue.
	Slots, Queue int
	// Step is the duration of a decoding step with an empty batch, StepPerSlot
	// what each request in the batch adds.
	Step, StepPerSlot time.Duration
	// PrefillRate and CopyRate are in tokens per millisecond.
	PrefillRate, CopyRate int
	// Ranks is the number of priority ranks, which requests have at random; 0 is the most
	// urgent. Without it they have the rank of their class.
	Ranks   int
	Classes []Class
	// Memory is the memory of an engine; the zero value is without limit.
	Memory Memory
	// Workspaces is the number of workspaces, which send the same; 0 means 1.
	Workspaces int
	// Retries is how often a caller retries a rejected request; 0 means 1.
	Retries int
}

// loadTTL returns the time in which a router gets two messages from each peer, and a
// margin.
func (d Deployment) loadTTL() time.Duration {
	return time.Duration(2*max(d.ShareGroups, 1)+1) * shareInterval
}

// Pattern is a load pattern.
type Pattern struct {
	// LoadFactor multiplies all rates; 0 means 1.
	LoadFactor float64
	// SurgeFactor multiplies all rates in the middle third; 0 means 1.
	SurgeFactor float64
	// HotPromptShare is the share of requests with the same shared prompt.
	HotPromptShare float64
	// JoiningEngines is how many engines join, one per second, after a third of
	// the time.
	JoiningEngines int
	// ResetCacheIndexes empties the cache index of every router at half of the
	// time.
	ResetCacheIndexes bool
	// LostEngines is how many engines are lost at half of the time.
	LostEngines int
	// SlowEngines is how many engines take four times as long in the middle
	// third.
	SlowEngines int
	// SurgeTime is how long the surge lasts; 0 means for a third of the time.
	SurgeTime time.Duration
	// HotWorkspaceFactor multiplies the rate of one workspace from a third of the time on, for
	// HotWorkspaceTime; 0 means 1.
	HotWorkspaceFactor float64
	HotWorkspaceTime   time.Duration
	// SurgingClass limits the surge to one class; "" means all.
	SurgingClass string
}

// SmallDeployment has the size of the users' smaller deployments.
func SmallDeployment() Deployment {
	return Deployment{
		Routers: 18, Engines: 9, Slots: 64, Queue: 192,
		Step: 3790 * time.Microsecond, StepPerSlot: 89300 * time.Nanosecond,
		PrefillRate: 56, CopyRate: 1220, Ranks: 3,
		Classes: []Class{
			{
				Name: "long", Rate: 13.5, SharedTokens: 10512, OwnTokens: 1300, SharedPrompts: 30, OutputTokens: 380,
				FirstTokenGoal: time.Second, FirstTokenTimeout: 4800 * time.Millisecond, Timeout: 15 * time.Second,
			},
			{
				Name: "answer", Rate: 21.3, SharedTokens: 699, OwnTokens: 130, SharedPrompts: 30, OutputTokens: 290,
				FirstTokenGoal: time.Second, FirstTokenTimeout: 4800 * time.Millisecond, Timeout: 15 * time.Second,
			},
			{
				Name: "short", Rate: 19.5, SharedTokens: 2041, OwnTokens: 360, SharedPrompts: 30, OutputTokens: 25,
				FirstTokenGoal: 2 * time.Second, FirstTokenTimeout: 3 * time.Second, Timeout: 3 * time.Second,
			},
		},
	}
}

// LargeDeployment has the size of the users' large deployment. A peer's loads are up to
// 1.8 s old, as the real router sends them to 24 peers in an interval.
func LargeDeployment() Deployment {
	return Deployment{
		Routers: 195, Engines: 124, ShareGroups: 9, Slots: 12, Queue: 36,
		Step: 3790 * time.Microsecond, StepPerSlot: 89300 * time.Nanosecond,
		PrefillRate: 56, CopyRate: 1220, Ranks: 3,
		Classes: []Class{
			{
				Name: "long", Rate: 132, SharedTokens: 10512, OwnTokens: 1300, SharedPrompts: 300, OutputTokens: 385,
				FirstTokenGoal: 800 * time.Millisecond, FirstTokenTimeout: 4800 * time.Millisecond, Timeout: 12 * time.Second,
			},
			{
				Name: "answer", Rate: 126, SharedTokens: 699, OwnTokens: 130, SharedPrompts: 300, OutputTokens: 294,
				FirstTokenGoal: time.Second, FirstTokenTimeout: 4800 * time.Millisecond, Timeout: 10 * time.Second,
			},
			{
				Name: "short", Rate: 235, SharedTokens: 2041, OwnTokens: 360, SharedPrompts: 300, OutputTokens: 21,
				FirstTokenGoal: 1500 * time.Millisecond, FirstTokenTimeout: 3 * time.Second, Timeout: 3 * time.Second,
			},
		},
	}
}
