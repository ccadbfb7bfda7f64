package office

import "time"

// Sink takes the answer to a chat request.
type Sink interface {
	// Queued says that the request stands in a queue.
	Queued()
	// Admitted says that the engine was asked, after a wait in the queue.
	Admitted(engine string, waited time.Duration)
	// WriteChunk takes the next piece of the answer. More says that the next one
	// is here already, so that the piece need not be flushed.
	WriteChunk(p Chunk, more bool) error
}

// Chunk is one piece of an answer. End marks the terminator.
type Chunk struct {
	Offset int
	Data   []byte
	End    bool
}
