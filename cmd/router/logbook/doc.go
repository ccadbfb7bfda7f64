// Package logbook puts what the routers know of requests that crash targets into messages.
package logbook
