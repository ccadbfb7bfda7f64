// Package channel keeps connections to targets. A connection serves one
// request at a time and is used again only while it is sound. Nothing is ever
// sent twice: the caller learns whether a byte may have left.
package channel
