package main

import (
	"net/http"

	"vanillalug.example/cmd/router/gateway"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/where"
)

// metricsHandler returns the handler of the metrics listener on the platform: the metrics on every path
// but that of the operators' question where a request would go. The platform gives routers no operators'
// listener and no key for one; this listener has an address that only operators reach.
func metricsHandler(g *gateway.Gateway) http.Handler {
	explain := g.WhereHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == where.Path {
			explain.ServeHTTP(w, r)
			return
		}
		meter.Write(w)
	})
}
