// Package receipt reassembles a streamed response: it decides which chunks are
// delivered, which are dropped, and when the stream has to be resumed.
//
// A Reassembler is a state machine without I/O. Chunks are delivered once each,
// in order of offset; chunks of another request are never delivered; the
// response is complete only when its terminator arrives at the next offset.
package receipt
