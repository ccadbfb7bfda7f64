package plan

// Workspace is a customer account whose requests carry one of its API keys.
type Workspace struct {
	name        string
	keys        []string
	priority    int
	hasPriority bool
}

// NewWorkspace returns a workspace whose requests have the priority of their
// route.
func NewWorkspace(name string, keys []string) Workspace {
	return Workspace{name: name, keys: keys}
}

// WithPriority returns the workspace with a priority that overrides the route's.
func (w Workspace) WithPriority(priority int) Workspace {
	w.priority = priority
	w.hasPriority = true
	return w
}

// Name returns the name.
func (w Workspace) Name() string { return w.name }

// Keys returns the valid API keys.
func (w Workspace) Keys() []string { return w.keys }

// Priority returns the priority rank of a request on the route; 0 is the most
// urgent.
func (w Workspace) Priority(r *Route) int {
	if w.hasPriority {
		return w.priority
	}
	return r.priority
}
