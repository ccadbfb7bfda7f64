package gateway

import (
	"fmt"

	"vanillalug.example/cmd/soak/fleet"
	"vanillalug.example/platform/platformtest"
)

const (
	apiKey       = "key-1"
	plainService = "booking"
	modelService = "models"
	maxConns     = 2 * streamStep * streamSteps
	// routeTimeout is in milliseconds.
	routeTimeout = 120000
)

// testFleet is a fleet of router processes with a fake store and a fake target of
// each kind. The engine is the target of the model service.
type testFleet struct {
	store   *platformtest.Store
	engine  *platformtest.Target
	targets []*platformtest.Target
	routers []*fleet.Router
}

func newTestFleet(bin, dir string, routers int) (*testFleet, error) {
	s := &testFleet{store: platformtest.NewStore()}
	table := platformtest.RoutingTable(1, []string{apiKey},
		platformtest.Route{Prefix: "/safe/", Kind: platformtest.Idempotent, Service: plainService, Attempts: 1, TimeoutMS: routeTimeout},
		platformtest.Route{Prefix: "/stream/", Kind: platformtest.Streaming, Service: modelService, Attempts: 1, TimeoutMS: routeTimeout},
	)
	for _, service := range table["services"].([]map[string]any) {
		service["max_connections"] = maxConns
	}
	s.store.PutJSON("op", "config", table)
	for _, service := range []string{plainService, modelService} {
		t, err := platformtest.NewTarget(service+"-1", service, service == modelService)
		if err != nil {
			return nil, err
		}
		s.targets = append(s.targets, t)
		s.engine = t
		entry := t.Entry("ready")
		entry["slots"] = streamStep * streamSteps
		s.store.PutJSON("servers", t.ID, entry)
	}
	for i := range routers {
		r, err := fleet.NewRouter(bin, dir, fmt.Sprintf("r%d", i), "a", s.store.Address())
		if err != nil {
			return nil, err
		}
		s.routers = append(s.routers, r)
		if err := r.Start(); err != nil {
			return nil, err
		}
	}
	return s, fleet.AwaitReady(s.routers)
}

func (s *testFleet) close() {
	for _, r := range s.routers {
		r.Stop()
	}
	for _, t := range s.targets {
		t.Close()
	}
	s.store.Close()
}
