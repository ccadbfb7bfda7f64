package receipt

// Event is something that happened to an Answer.
type Event interface{ answerEvent() }

// Piece is one event of the stream. End marks the terminator.
type Piece struct {
	Request string
	Offset  int
	Data    []byte
	End     bool
}

// Broken says that the connection ended or failed before the answer was whole.
type Broken struct{}

// Silent says that the connection brought nothing for the idle bound.
type Silent struct{}

func (Piece) answerEvent()  {}
func (Broken) answerEvent() {}
func (Silent) answerEvent() {}
