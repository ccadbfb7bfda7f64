package receipt

// Effect is something to carry out for an Answer.
type Effect interface{ answerEffect() }

// Deliver gives a piece to the caller.
type Deliver struct {
	Offset int
	Data   []byte
	End    bool
}

// Drop says that a piece was left out.
type Drop struct{ Reason DropReason }

// Resume asks for a new connection that starts at the offset.
type Resume struct{ Offset int }

// Complete says that the whole answer was delivered.
type Complete struct{}

// Fail says that the answer cannot be made whole.
type Fail struct{}

func (Deliver) answerEffect()  {}
func (Drop) answerEffect()     {}
func (Resume) answerEffect()   {}
func (Complete) answerEffect() {}
func (Fail) answerEffect()     {}

// DropReason says why a piece was left out.
type DropReason string

// The reasons.
const (
	Misdirected DropReason = "misdirected"
	Duplicate   DropReason = "repeated"
	TooEarly    DropReason = "too-early"
)
