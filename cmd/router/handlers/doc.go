// Package handlers holds the HTTP handlers for callers, peers and operators.
package handlers
