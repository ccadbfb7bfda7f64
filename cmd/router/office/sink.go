package office

import "time"

// Sink takes the answer to a chat request.
type Sink interface {
	// Waiting says that the request stands in a queue.
	Waiting()
	// Admitted says that the engine was asked, after a wait in the queue.
	Admitted(engine string, waited time.Duration)
	// Piece takes the next piece of the answer. More says that the next one
	// is here already, so that the piece need not be flushed.
	Piece(p Piece, more bool) error
}

// Piece is one piece of an answer. End marks the terminator.
type Piece struct {
	Offset int
	Data   []byte
	End    bool
}
