package main

import "fmt"

// A manifest like that of a small deployment.

type manifest map[string]any

func newManifest(version int, routes, services []any) manifest {
	return manifest{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": tenants(),
	}
}

func streamRoute(name, prefix, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "shop.example", "prefix": prefix, "route_kind": "streaming", "timeout_ms": 15000, "goal_ms": 1000,
		"priority": 0, "service": service, "max_attempts": attempts, "public": false, "resumable": true, "gap_aim_ms": 600,
	}
}

func plainRoute(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "shop.example", "prefix": prefix, "route_kind": kind, "timeout_ms": 1000, "goal_ms": 150,
		"priority": 2, "service": service, "max_attempts": attempts, "public": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 832, "protocol": "h1", "tls": false}
}

// tenantCount is the number of tenants; the key of tenant N is key-N.
const tenantCount = 10

func tenants() []any {
	var out []any
	for n := range tenantCount {
		out = append(out, map[string]any{"name": fmt.Sprintf("t%d", n), "api_keys": []string{fmt.Sprintf("key-%d", n)}, "priority": 1})
	}
	return out
}

func engineService(name string) map[string]any {
	s := plainService(name)
	s["inference_engine"] = map[string]any{
		"slots": 64, "kv_capacity": 545002, "kv_token_bytes": 18432, "link_mbps": 180000.0, "migrations": true, "replicas": true,
		"stride": 5, "most": 2, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0,
		"model_list": []any{map[string]any{"name": "m"}},
	}
	return s
}
