// Package receipt decides whether a streamed answer is whole: which pieces
// are delivered, which are dropped, and when the stream has to be resumed.
//
// An Answer is a state machine without I/O. Pieces are delivered once each,
// in order of offset; pieces of another request are never delivered; the
// answer is whole only when its terminator stands at the next offset.
package receipt
