package receipt

// Effect is an action that a Reassembler returns for its caller.
type Effect interface{ reassemblerEffect() }

// Deliver sends a chunk to the client. End marks the terminator.
type Deliver struct {
	Offset int
	Data   []byte
	End    bool
}

// Drop means that a chunk was dropped.
type Drop struct{ Reason DropReason }

// Resume asks for a new connection that continues the stream at the offset.
type Resume struct{ Offset int }

// Complete means that the complete response was delivered.
type Complete struct{}

// Fail means that the response cannot be completed.
type Fail struct{}

func (Deliver) reassemblerEffect()  {}
func (Drop) reassemblerEffect()     {}
func (Resume) reassemblerEffect()   {}
func (Complete) reassemblerEffect() {}
func (Fail) reassemblerEffect()     {}

// DropReason is why a chunk was dropped.
type DropReason string

// The reasons: a chunk of another request, a chunk that was already received, and
// one that arrived out of order while the reorder buffer was full.
const (
	Misdirected DropReason = "misdirected"
	Duplicate   DropReason = "repeated"
	TooEarly    DropReason = "too-early"
)
