// Package peer is the protocol between routers: twirp calls for coordination
// and the headers of relayed chat requests.
package peer
