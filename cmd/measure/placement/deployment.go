package placement

import "time"

// Deployment is what one user's traffic looks like.
type Deployment struct {
	name       string
	engines    int
	routers    int
	slots      int
	cache      int
	rate       float64
	opening    int
	turn       int
	answer     int
	interval   time.Duration
	prefill    time.Duration
	pause      time.Duration
	returning  float64
	workspaces []float64
	batch      []bool
	surging    int
	replaceAll bool
}

// ReplaceAt is when a deployment WithReplacement replaces its routers.
const ReplaceAt = 28 * time.Minute

// WithReplacement returns the deployment without other churn, but with every
// router replaced by an empty one at the same time.
func (d Deployment) WithReplacement() Deployment {
	d.replaceAll = true
	return d
}

const (
	length     = 40 * time.Minute
	warmUp     = 5 * time.Minute
	surgeFrom  = 20 * time.Minute
	surgeTo    = 25 * time.Minute
	surgeTimes = 10
	bound      = 1.25
	boundFloor = 4
)

// Deployments returns the two deployments of the first users. The first has
// long prompts and members who return after minutes; the second has a few
// large workspaces and interactive beside batch work.
func Deployments() []Deployment {
	return []Deployment{
		{
			name: "agida", engines: 10, routers: 18, slots: 16, cache: 2_000_000, rate: 9,
			opening: 4000, turn: 1500, answer: 400, interval: 20 * time.Millisecond,
			prefill: 200 * time.Microsecond, pause: 3 * time.Minute, returning: 0.75,
			workspaces: []float64{1, 1, 1, 1, 1, 1, 1, 1, 3, 4},
			batch:      make([]bool, 10), surging: 0,
		},
		{
			name: "trinacria", engines: 10, routers: 18, slots: 16, cache: 600_000, rate: 22,
			opening: 900, turn: 400, answer: 150, interval: 20 * time.Millisecond,
			prefill: 200 * time.Microsecond, pause: 2 * time.Minute, returning: 0.6,
			workspaces: []float64{1, 1, 1, 1, 1, 1, 1, 6, 8, 10},
			batch:      []bool{false, true, false, true, false, true, false, false, true, false}, surging: 2,
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
