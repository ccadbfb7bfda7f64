package handlers

import (
	"bufio"
	"encoding/json"
	"net/http"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/office"
)

// sinkBufferBytes is the size of the buffer that joins the parts of one event;
// the HTTP server has its own buffers below it.
const sinkBufferBytes = 512

// writeTimeout is how long a caller or a peer may read nothing of a stream.
const writeTimeout = 30 * time.Second

// eventSink writes a response to a caller as server-sent events.
type eventSink struct {
	w       http.ResponseWriter
	out     *bufio.Writer
	started bool
}

func newEventSink(w http.ResponseWriter) *eventSink {
	return &eventSink{w: w, out: bufio.NewWriterSize(w, sinkBufferBytes)}
}

// Queued implements office.Sink.
func (s *eventSink) Queued() {}

// Admitted implements office.Sink.
func (s *eventSink) Admitted(string, time.Duration) {}

// WriteChunk implements office.Sink.
func (s *eventSink) WriteChunk(chunk office.Chunk, more bool) error {
	if !s.started {
		s.start()
	}
	_, _ = s.out.WriteString("data: ")
	_, _ = s.out.Write(chunk.Data)
	_, err := s.out.WriteString("\n\n")
	if err != nil || more {
		return err
	}
	return s.flush()
}

func (s *eventSink) start() {
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventSink) flush() error { return flushWithTimeout(s.w, s.out) }

// flushWithTimeout sends the buffered data. It fails when the other side reads
// nothing for writeTimeout.
func flushWithTimeout(w http.ResponseWriter, out *bufio.Writer) error {
	c := http.NewResponseController(w)
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return c.Flush()
}

// writeError writes a problem as an error event.
func (s *eventSink) writeError(p *vanillalug.Problem) {
	raw, err := json.Marshal(errorBody{Error: p})
	if err != nil {
		return
	}
	_, _ = s.out.WriteString("event: error\ndata: ")
	_, _ = s.out.Write(raw)
	_, _ = s.out.WriteString("\n\n")
	_ = s.flush()
}

// errorBody is the data of an error event.
type errorBody struct {
	Error *vanillalug.Problem `json:"error"`
}
