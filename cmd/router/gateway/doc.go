// Package gateway carries requests from callers to targets on the users'
// platform: it watches the store, shares loads with the other routers, and
// takes each request through routing, admission, sending and answering.
package gateway
