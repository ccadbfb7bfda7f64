// Package rota selects the routers that follow the change feeds of the
// platform's store for all routers, so that the number of calls to the store
// doesn't grow with the number of routers.
package rota
