// Package courier carries requests out: to engines, services and peers. Each
// is met through a small interface with one adapter over HTTP.
package courier
