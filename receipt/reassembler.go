package receipt

const (
	// maxHeld is the number of early pieces that are held back.
	maxHeld = 64
	// MaxResumes is the number of resumes in a row without a new piece.
	MaxResumes = 3
)

// Reassembler is the answer to one request as it comes in. It belongs to one
// request and is not safe for concurrent use.
type Reassembler struct {
	request string
	next    int
	held    map[int]Chunk
	resumes int
	ended   bool
}

// NewReassembler returns the answer to a request, which starts at the offset.
func NewReassembler(request string, offset int) *Reassembler {
	return &Reassembler{request: request, next: offset, held: map[int]Chunk{}}
}

// Next returns the offset of the next piece to deliver.
func (a *Reassembler) Next() int { return a.next }

// Handle takes an event and returns the effects to carry out, in order.
func (a *Reassembler) Handle(ev Event) []Effect {
	if a.ended {
		return nil
	}
	switch e := ev.(type) {
	case Chunk:
		return a.piece(e)
	case Disconnected, IdleTimeout:
		return a.resume()
	}
	return nil
}

func (a *Reassembler) piece(p Chunk) []Effect {
	switch {
	case p.Request != a.request:
		return []Effect{Drop{Reason: Misdirected}}
	case p.Offset < a.next:
		return []Effect{Drop{Reason: Duplicate}}
	case p.Offset > a.next:
		return a.hold(p)
	}
	return a.deliver(p)
}

// hold keeps an early piece. Too many of them mean that one was lost.
func (a *Reassembler) hold(p Chunk) []Effect {
	if len(a.held) >= maxHeld {
		return append([]Effect{Drop{Reason: TooEarly}}, a.resume()...)
	}
	a.held[p.Offset] = p
	return nil
}

func (a *Reassembler) deliver(p Chunk) []Effect {
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

func (a *Reassembler) resume() []Effect {
	clear(a.held)
	a.resumes++
	if a.resumes > MaxResumes {
		a.ended = true
		return []Effect{Fail{}}
	}
	return []Effect{Resume{Offset: a.next}}
}
