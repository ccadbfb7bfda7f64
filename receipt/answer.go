package receipt

const (
	// maxHeld is the number of early pieces that are held back.
	maxHeld = 64
	// MaxResumes is the number of resumes in a row without a new piece.
	MaxResumes = 3
)

// Answer is the answer to one request as it comes in. It belongs to one
// request and is not safe for concurrent use.
type Answer struct {
	request string
	next    int
	held    map[int]Piece
	resumes int
	ended   bool
}

// NewAnswer returns the answer to a request, which starts at the offset.
func NewAnswer(request string, offset int) *Answer {
	return &Answer{request: request, next: offset, held: map[int]Piece{}}
}

// Next returns the offset of the next piece to deliver.
func (a *Answer) Next() int { return a.next }

// Handle takes an event and returns the effects to carry out, in order.
func (a *Answer) Handle(ev Event) []Effect {
	if a.ended {
		return nil
	}
	switch e := ev.(type) {
	case Piece:
		return a.piece(e)
	case Broken, Silent:
		return a.resume()
	}
	return nil
}

func (a *Answer) piece(p Piece) []Effect {
	switch {
	case p.Request != a.request:
		return []Effect{Drop{Reason: Misdirected}}
	case p.Offset < a.next:
		return []Effect{Drop{Reason: Repeated}}
	case p.Offset > a.next:
		return a.hold(p)
	}
	return a.deliver(p)
}

// hold keeps an early piece. Too many of them mean that one was lost.
func (a *Answer) hold(p Piece) []Effect {
	if len(a.held) >= maxHeld {
		return append([]Effect{Drop{Reason: TooEarly}}, a.resume()...)
	}
	a.held[p.Offset] = p
	return nil
}

func (a *Answer) deliver(p Piece) []Effect {
	var out []Effect
	for {
		a.next++
		a.resumes = 0
		out = append(out, Deliver{Offset: p.Offset, Data: p.Data, End: p.End})
		if p.End {
			a.ended = true
			return append(out, Complete{})
		}
		held, ok := a.held[a.next]
		if !ok {
			return out
		}
		delete(a.held, a.next)
		p = held
	}
}

func (a *Answer) resume() []Effect {
	clear(a.held)
	a.resumes++
	if a.resumes > MaxResumes {
		a.ended = true
		return []Effect{Fail{}}
	}
	return []Effect{Resume{Offset: a.next}}
}
