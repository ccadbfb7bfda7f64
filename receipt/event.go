package receipt

// Event is something that happened to an Answer.
type Event interface{ answerEvent() }

// Chunk is one event of the stream. End marks the terminator.
type Chunk struct {
	Request string
	Offset  int
	Data    []byte
	End     bool
}

// Disconnected says that the connection ended or failed before the answer was whole.
type Disconnected struct{}

// IdleTimeout says that the connection brought nothing for the idle bound.
type IdleTimeout struct{}

func (Chunk) answerEvent()        {}
func (Disconnected) answerEvent() {}
func (IdleTimeout) answerEvent()  {}
