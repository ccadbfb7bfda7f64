// Package handlers answers HTTP requests of callers, peers and operators.
package handlers
