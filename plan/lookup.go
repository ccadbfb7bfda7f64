package plan

import (
	"slices"
	"strings"
)

// Workspace returns the workspace with the name.
func (t *Table) Workspace(name string) (Workspace, bool) {
	w, ok := t.workspaces[name]
	return w, ok
}

// HostsOf returns the hosts that have a route for the path, sorted.
func (t *Table) HostsOf(path string) []string {
	var out []string
	for host, routes := range t.routesByHost {
		if slices.ContainsFunc(routes, func(r Route) bool { return strings.HasPrefix(path, r.prefix) }) {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// Services returns the services of the route with their weights.
func (r *Route) Services() []WeightedService { return r.services }
