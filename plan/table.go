package plan

import (
	"cmp"
	"slices"
	"strings"
)

// Table is one version of the routing table.
type Table struct {
	version        uint64
	routesByHost   map[string][]Route
	services       map[string]Service
	workspaces     map[string]Workspace
	workspaceByKey map[string]string
	requiresKey    bool
	limits         Limits
}

// Option configures a new Table.
type Option func(*Table)

// WithRoutes adds routes.
func WithRoutes(routes ...Route) Option {
	return func(t *Table) {
		for _, r := range routes {
			host := strings.ToLower(r.host)
			t.routesByHost[host] = append(t.routesByHost[host], r)
		}
	}
}

// WithServices adds services.
func WithServices(services ...Service) Option {
	return func(t *Table) {
		for _, s := range services {
			t.services[s.name] = s
		}
	}
}

// WithWorkspaces adds workspaces and makes the Table require a key for every
// request on a route that isn't public.
func WithWorkspaces(workspaces ...Workspace) Option {
	return func(t *Table) {
		t.requiresKey = true
		for _, w := range workspaces {
			t.workspaces[w.name] = w
			for _, k := range w.keys {
				t.workspaceByKey[k] = w.name
			}
		}
	}
}

// WithLimits sets the limits for callers.
func WithLimits(l Limits) Option { return func(t *Table) { t.limits = l } }

// New returns the routing table of a version.
func New(version uint64, opts ...Option) *Table {
	t := &Table{
		version:        version,
		routesByHost:   map[string][]Route{},
		services:       map[string]Service{},
		workspaces:     map[string]Workspace{},
		workspaceByKey: map[string]string{},
	}
	for _, opt := range opts {
		opt(t)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	return t
}

// Version returns the version; a later version is larger.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of the host with the longest matching path prefix.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes := t.routesByHost[strings.ToLower(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Service returns the service with the name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RequiresKey reports whether requests on routes that aren't public need a key.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// WorkspaceByKey returns the workspace that the key belongs to.
func (t *Table) WorkspaceByKey(key string) (Workspace, bool) {
	name, ok := t.workspaceByKey[key]
	if !ok {
		return Workspace{}, false
	}
	return t.workspaces[name], true
}
