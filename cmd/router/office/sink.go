package office

import "time"

// Sink receives the response to a chat request.
type Sink interface {
	// Queued reports that the request is queued.
	Queued()
	// Admitted reports that the request was admitted to the engine, after the wait in
	// the queue.
	Admitted(engine string, waited time.Duration)
	// WriteChunk writes the next chunk of the response. More means that another one is
	// already buffered, so that this one need not be flushed.
	WriteChunk(c Chunk, more bool) error
}

// Chunk is one chunk of a streamed response. End marks the terminator.
type Chunk struct {
	Offset int
	Data   []byte
	End    bool
}
