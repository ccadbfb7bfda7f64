package receipt

const (
	// maxBuffered is the maximum number of out-of-order chunks that are buffered.
	maxBuffered = 64
	// MaxResumes is the maximum number of consecutive resumes without a new
	// chunk.
	MaxResumes = 3
)

// Reassembler delivers the chunks of one response in order. It is not safe for
// concurrent use.
type Reassembler struct {
	request  string
	next     int
	buffered map[int]Chunk
	resumes  int
	ended    bool
}

// NewReassembler returns a Reassembler for the response to a request, which starts
// at the offset.
func NewReassembler(request string, offset int) *Reassembler {
	return &Reassembler{request: request, next: offset, buffered: map[int]Chunk{}}
}

// Next returns the offset of the next chunk to deliver.
func (r *Reassembler) Next() int { return r.next }

// Handle applies an event and returns the effects to carry out, in order. After
// Complete or Fail it returns none.
func (r *Reassembler) Handle(ev Event) []Effect {
	if r.ended {
		return nil
	}
	switch e := ev.(type) {
	case Chunk:
		return r.chunk(e)
	case Disconnected, IdleTimeout:
		return r.resume()
	}
	return nil
}

func (r *Reassembler) chunk(c Chunk) []Effect {
	switch {
	case c.Request != r.request:
		return []Effect{Drop{Reason: Misdirected}}
	case c.Offset < r.next:
		return []Effect{Drop{Reason: Duplicate}}
	case c.Offset > r.next:
		return r.buffer(c)
	}
	return r.deliver(c)
}

// buffer keeps an out-of-order chunk. A full buffer means that a chunk was lost,
// so the stream is resumed.
func (r *Reassembler) buffer(c Chunk) []Effect {
	if len(r.buffered) >= maxBuffered {
		return append([]Effect{Drop{Reason: TooEarly}}, r.resume()...)
	}
	r.buffered[c.Offset] = c
	return nil
}

func (r *Reassembler) deliver(c Chunk) []Effect {
	var out []Effect
	for {
		r.next++
		r.resumes = 0
		out = append(out, Deliver{Offset: c.Offset, Data: c.Data, End: c.End})
		if c.End {
			r.ended = true
			return append(out, Complete{})
		}
		buffered, ok := r.buffered[r.next]
		if !ok {
			return out
		}
		delete(r.buffered, r.next)
		c = buffered
	}
}

func (r *Reassembler) resume() []Effect {
	clear(r.buffered)
	r.resumes++
	if r.resumes > MaxResumes {
		r.ended = true
		return []Effect{Fail{}}
	}
	return []Effect{Resume{Offset: r.next}}
}
