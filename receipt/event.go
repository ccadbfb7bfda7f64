package receipt

// Event is an input to a Reassembler.
type Event interface{ reassemblerEvent() }

// Chunk is one event of the stream. Offset counts chunks from 0. End marks the
// terminator.
type Chunk struct {
	Request string
	Offset  int
	Data    []byte
	End     bool
}

// Disconnected means that the connection ended or failed before the response was
// complete.
type Disconnected struct{}

// IdleTimeout means that the connection received nothing within the idle timeout.
type IdleTimeout struct{}

func (Chunk) reassemblerEvent()        {}
func (Disconnected) reassemblerEvent() {}
func (IdleTimeout) reassemblerEvent()  {}
