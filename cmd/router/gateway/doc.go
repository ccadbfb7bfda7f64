// Package gateway is the reverse proxy of the users' platform. It routes each
// request to a target, with admission control, retries and passive health
// checks. It follows the routing table and the service registry in the store
// and exchanges load reports with the other routers.
package gateway
