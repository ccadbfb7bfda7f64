// Package courier holds the HTTP clients for engines, services and peers.
// Engines and services have an interface with one implementation over HTTP.
package courier
