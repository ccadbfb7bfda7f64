// Package gateway measures a router as a process on a stand-in of the users'
// platform: what a request, an event and an open stream cost, and what routers
// spend while they are idle.
package gateway
