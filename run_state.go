package vanillalug

// RunState says whether the work behind an answer was run.
type RunState string

// The run states.
const (
	NotRun     RunState = "not-run"
	RunDone    RunState = "done"
	RunUnknown RunState = "unknown"
)
