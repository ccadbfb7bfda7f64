package plan

import (
	"cmp"
	"slices"
	"strings"
)

// Plan is one version of the routing table.
type Table struct {
	version    uint64
	byHost     map[string][]Route
	services   map[string]Service
	workspaces map[string]Workspace
	byKey      map[string]string
	keyed      bool
	limits     Limits
}

// Option changes a new Plan.
type Option func(*Table)

// WithRoutes adds routes.
func WithRoutes(routes ...Route) Option {
	return func(p *Table) {
		for _, r := range routes {
			host := strings.ToLower(r.host)
			p.byHost[host] = append(p.byHost[host], r)
		}
	}
}

// WithServices adds services.
func WithServices(services ...Service) Option {
	return func(p *Table) {
		for _, s := range services {
			p.services[s.name] = s
		}
	}
}

// WithWorkspaces demands a key of every request on a route that is not public.
func WithWorkspaces(workspaces ...Workspace) Option {
	return func(p *Table) {
		p.keyed = true
		for _, w := range workspaces {
			p.workspaces[w.name] = w
			for _, k := range w.keys {
				p.byKey[k] = w.name
			}
		}
	}
}

// WithLimits sets what callers may send.
func WithLimits(l Limits) Option { return func(p *Table) { p.limits = l } }

// New returns the plan of a version.
func New(version uint64, opts ...Option) *Table {
	p := &Table{
		version:    version,
		byHost:     map[string][]Route{},
		services:   map[string]Service{},
		workspaces: map[string]Workspace{},
		byKey:      map[string]string{},
	}
	for _, opt := range opts {
		opt(p)
	}
	for _, routes := range p.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	return p
}

// Version returns the version; a later one is larger.
func (p *Table) Version() uint64 { return p.version }

// Limits returns what callers may send.
func (p *Table) Limits() Limits { return p.limits }

// Match returns the route of the host with the longest prefix of the path.
func (p *Table) Match(host, path string) (*Route, bool) {
	routes := p.byHost[strings.ToLower(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Service returns the service of the name.
func (p *Table) Service(name string) (Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Keyed reports whether requests need a key.
func (p *Table) RequiresKey() bool { return p.keyed }

// WorkspaceByKey returns the workspace that holds the key.
func (p *Table) WorkspaceByKey(key string) (Workspace, bool) {
	name, ok := p.byKey[key]
	if !ok {
		return Workspace{}, false
	}
	return p.workspaces[name], true
}
