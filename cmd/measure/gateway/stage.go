package gateway

import (
	"fmt"

	"vanillalug.example/cmd/soak/fleet"
	"vanillalug.example/platform/platformtest"
)

const (
	key      = "key-1"
	plain    = "booking"
	models   = "models"
	maxConns = 2 * streamStep * streamSteps
	// timeout is that of the routes, in milliseconds.
	timeout = 120000
)

// measured is a fleet with a store and a target of each kind.
type measured struct {
	store   *platformtest.Store
	engine  *platformtest.Target
	targets []*platformtest.Target
	routers []*fleet.Router
}

func newStage(bin, dir string, routers int) (*measured, error) {
	s := &measured{store: platformtest.NewStore()}
	plan := platformtest.RoutingTable(1, []string{key},
		platformtest.Route{Prefix: "/safe/", Kind: platformtest.Idempotent, Service: plain, Attempts: 1, TimeoutMS: timeout},
		platformtest.Route{Prefix: "/stream/", Kind: platformtest.Streaming, Service: models, Attempts: 1, TimeoutMS: timeout},
	)
	for _, service := range plan["services"].([]map[string]any) {
		service["max_connections"] = maxConns
	}
	s.store.PutJSON("op", "config", plan)
	for _, service := range []string{plain, models} {
		t, err := platformtest.NewTarget(service+"-1", service, service == models)
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
		r, err := fleet.NewRouter(bin, dir, fmt.Sprintf("r%d", i), s.store.Address())
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

func (s *measured) end() {
	for _, r := range s.routers {
		r.Stop()
	}
	for _, t := range s.targets {
		t.Close()
	}
	s.store.Close()
}
