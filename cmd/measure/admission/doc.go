// Package admission compares policies for rejecting requests by replaying load
// patterns on simulated engines.
package admission
