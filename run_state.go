package vanillalug

// RunState tells whether the request behind a response was run.
type RunState string

// The run states.
const (
	NotRun     RunState = "not-run"
	RunDone    RunState = "done"
	RunUnknown RunState = "unknown"
)
