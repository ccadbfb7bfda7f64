package placement

import "time"

// Deployment describes the fleet and the traffic of one user.
type Deployment struct {
	name             string
	engines          int
	routers          int
	slots            int
	cacheTokens      int
	rate             float64 // requests per second
	openingTokens    int
	turnTokens       int
	answerTokens     int
	tokenInterval    time.Duration
	prefillPerToken  time.Duration
	meanPause        time.Duration
	returningShare   float64
	workspaceWeights []float64
	batch            []bool
	surgingWorkspace int
	replaceRouters   bool
}

// ReplaceAt is when a deployment returned by WithReplacement replaces its
// routers.
const ReplaceAt = 28 * time.Minute

// WithReplacement returns the deployment without other churn, but with every
// router replaced by an empty one at the same time.
func (d Deployment) WithReplacement() Deployment {
	d.replaceRouters = true
	return d
}

const (
	runLength   = 40 * time.Minute
	warmUp      = 5 * time.Minute
	surgeFrom   = 20 * time.Minute
	surgeTo     = 25 * time.Minute
	surgeFactor = 10
	bound       = 1.25
	boundFloor  = 4
)

// Deployments returns the two deployments of the first users. The first has
// long prompts and callers who return after minutes; the second has a few large
// workspaces, and interactive and batch requests.
func Deployments() []Deployment {
	return []Deployment{
		{
			name: "agida", engines: 10, routers: 18, slots: 16, cacheTokens: 2_000_000, rate: 9,
			openingTokens: 4000, turnTokens: 1500, answerTokens: 400, tokenInterval: 20 * time.Millisecond,
			prefillPerToken: 200 * time.Microsecond, meanPause: 3 * time.Minute, returningShare: 0.75,
			workspaceWeights: []float64{1, 1, 1, 1, 1, 1, 1, 1, 3, 4},
			batch:            make([]bool, 10), surgingWorkspace: 0,
		},
		{
			name: "trinacria", engines: 10, routers: 18, slots: 16, cacheTokens: 600_000, rate: 22,
			openingTokens: 900, turnTokens: 400, answerTokens: 150, tokenInterval: 20 * time.Millisecond,
			prefillPerToken: 200 * time.Microsecond, meanPause: 2 * time.Minute, returningShare: 0.6,
			workspaceWeights: []float64{1, 1, 1, 1, 1, 1, 1, 6, 8, 10},
			batch:            []bool{false, true, false, true, false, true, false, false, true, false}, surgingWorkspace: 2,
		},
	}
}

// Name returns the name of the deployment.
func (d Deployment) Name() string { return d.name }

// className returns the class of a workspace.
func (d Deployment) className(workspace int) string {
	if d.batch[workspace] {
		return "batch"
	}
	return "interactive"
}
