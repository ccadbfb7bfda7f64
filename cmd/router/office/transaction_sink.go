package office

import (
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/schedule"
)

// transactionSink wraps the caller's sink. It tracks the offset of the next chunk,
// drops duplicate chunks and measures the time between chunks.
type transactionSink struct {
	sink       Sink
	clock      schedule.Clock
	chat       ChatRequest
	start      time.Time
	lastChunk  time.Time
	engine     string
	started    bool
	nextOffset int
}

func newTransactionSink(sink Sink, clock schedule.Clock, chat ChatRequest, start time.Time) *transactionSink {
	return &transactionSink{sink: sink, clock: clock, chat: chat, start: start}
}

// Queued implements Sink.
func (s *transactionSink) Queued() { s.sink.Queued() }

// Admitted implements Sink.
func (s *transactionSink) Admitted(engine string, waited time.Duration) {
	if s.engine == "" {
		meter.QueueWait(s.chat.Workspace.Name(), s.chat.Class, waited)
		meter.Count("chats", "engine", engine)
	}
	s.engine = engine
	s.sink.Admitted(engine, waited)
}

// WriteChunk implements Sink. It drops a chunk that is not the next one.
func (s *transactionSink) WriteChunk(c Chunk, more bool) error {
	if c.Offset != s.nextOffset {
		meter.Count("dropped_pieces", "reason", "repeated-by-peer")
		return nil
	}
	now := s.clock.Now()
	if !s.started {
		s.started = true
		meter.TimeToFirstToken(s.chat.Workspace.Name(), s.chat.Class, now.Sub(s.start))
	} else if !c.End {
		meter.InterTokenLatency(s.chat.Workspace.Name(), s.chat.Class, now.Sub(s.lastChunk))
	}
	s.lastChunk = now
	s.nextOffset++
	return s.sink.WriteChunk(c, more)
}
