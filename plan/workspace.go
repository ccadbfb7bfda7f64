package plan

// Workspace is a customer whose requests carry one of its keys.
type Workspace struct {
	name     string
	keys     []string
	priority int
	ranked   bool
}

// NewWorkspace returns a workspace that ranks its requests by their route.
func NewWorkspace(name string, keys []string) Workspace {
	return Workspace{name: name, keys: keys}
}

// Ranked returns the workspace with a priority that goes before the route's.
func (w Workspace) WithPriority(priority int) Workspace {
	w.priority = priority
	w.ranked = true
	return w
}

// Name returns the name.
func (w Workspace) Name() string { return w.name }

// Keys returns the keys in force.
func (w Workspace) Keys() []string { return w.keys }

// Priority returns the rank of a request on the route; 0 is the most urgent.
func (w Workspace) Priority(r *Route) int {
	if w.ranked {
		return w.priority
	}
	return r.priority
}
