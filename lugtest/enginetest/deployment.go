package enginetest

import "time"

// Class is a kind of request.
type Class struct {
	Name string
	// Rate is requests a second.
	Rate float64
	// Shared and Own are the tokens of the prompt that requests share, and of
	// the rest.
	SharedTokens, OwnTokens int
	// Prompts is the number of different shared prompts.
	SharedPrompts int
	// Output is tokens.
	OutputTokens int
	// Goal is the time within which the first token should come, Leave when
	// callers leave without it, and Limit how long they wait for the whole answer.
	FirstTokenGoal, FirstTokenTimeout, Timeout time.Duration
}

// Site is a deployment.
type Deployment struct {
	Routers, Engines int
	// Slots is the batch of an engine, Queue how many requests wait beside it.
	Slots, Queue int
	// Step is the time of a step with an empty batch, StepPerSlot what each
	// request in it adds.
	Step, StepPerSlot time.Duration
	// ReadRate and CopyRate are tokens a millisecond.
	ReadRate, CopyRate int
	// Ranks is how many ranks workspaces have; 0 is the most urgent.
	Ranks   int
	Classes []Class
}

// Pattern is a load pattern.
type Pattern struct {
	// Load is a factor of all rates; 0 is 1.
	LoadFactor float64
	// Surge is a factor of all rates in the middle third; 0 is 1.
	SurgeFactor float64
	// Hot is the share of requests about one prompt.
	HotPromptShare float64
	// Join adds engines at a third of the time, one a second.
	JoiningEngines int
	// Forget lets every router lose its memory at half of the time.
	ResetCacheIndexes bool
	// Lost is how many engines are gone from half of the time on.
	LostEngines int
	// Slow is how many engines take four times as long in the middle third.
	SlowEngines int
}

// Small is of the size of the users' smaller deployments.
func SmallDeployment() Deployment {
	return Deployment{
		Routers: 18, Engines: 9, Slots: 64, Queue: 192,
		Step: 3790 * time.Microsecond, StepPerSlot: 89300 * time.Nanosecond,
		ReadRate: 56, CopyRate: 1220, Ranks: 3,
		Classes: []Class{
			{"long", 13.5, 10512, 1300, 30, 380, time.Second, 4800 * time.Millisecond, 15 * time.Second},
			{"answer", 21.3, 699, 130, 30, 290, time.Second, 4800 * time.Millisecond, 15 * time.Second},
			{"short", 19.5, 2041, 360, 30, 25, 2 * time.Second, 3 * time.Second, 3 * time.Second},
		},
	}
}
