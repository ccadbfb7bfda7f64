package dispatch

import "vanillalug.example"

// Owner returns the router that owns admission for the engine, by rendezvous
// hashing over the routers, or "" if there are none.
func Owner(engine string, routers []string) string {
	return vanillalug.Best(vanillalug.NameKey(engine), routers)
}
