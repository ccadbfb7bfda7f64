// Package gateway measures a router process on a fake of the users' platform: the
// cost of a request, of a streamed event and of an open stream, and what idle
// routers use.
package gateway
