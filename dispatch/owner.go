package dispatch

import "vanillalug.example"

// Owner returns the router that admits for the engine, by rendezvous hashing
// over the routers, or "" when there are none.
func Owner(engine string, routers []string) string {
	return vanillalug.Best(vanillalug.NameKey(engine), routers)
}
