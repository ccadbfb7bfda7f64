package office

import (
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/schedule"
)

// tripSink stands before the caller's sink. It knows how far the answer has
// come, delivers each piece once and measures the time between them.
type tripSink struct {
	sink    Sink
	clock   schedule.Clock
	chat    ChatRequest
	begun   time.Time
	last    time.Time
	engine  string
	started bool
	next    int
}

func newTripSink(sink Sink, clock schedule.Clock, chat ChatRequest, begun time.Time) *tripSink {
	return &tripSink{sink: sink, clock: clock, chat: chat, begun: begun}
}

// Queued implements Sink.
func (s *tripSink) Queued() { s.sink.Queued() }

// Admitted implements Sink.
func (s *tripSink) Admitted(engine string, waited time.Duration) {
	if s.engine == "" {
		meter.QueueWait(s.chat.Workspace.Name(), s.chat.Class, waited)
		meter.Count("chats", "engine", engine)
	}
	s.engine = engine
	s.sink.Admitted(engine, waited)
}

// WriteChunk implements Sink. A piece that was delivered before is left out.
func (s *tripSink) WriteChunk(p Chunk, more bool) error {
	if p.Offset != s.next {
		meter.Count("dropped_pieces", "reason", "repeated-by-peer")
		return nil
	}
	now := s.clock.Now()
	if !s.started {
		s.started = true
		meter.TimeToFirstToken(s.chat.Workspace.Name(), s.chat.Class, now.Sub(s.begun))
	} else if !p.End {
		meter.InterTokenLatency(s.chat.Workspace.Name(), s.chat.Class, now.Sub(s.last))
	}
	s.last = now
	s.next++
	return s.sink.WriteChunk(p, more)
}
