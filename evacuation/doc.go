// Package evacuation decides which failure domains are evacuated, from statements that come from
// the store and from peers, late, repeated or out of order. It does no I/O and reads no clock.
package evacuation
