// Package peer holds the protocol between routers: Twirp services, and
// conversions between their messages and the types of dispatch, register and
// roster.
package peer
