package handlers

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/office"
)

// heartbeatInterval is the time between two comments on a relayed stream that
// is otherwise idle.
const heartbeatInterval = 2 * time.Second

// relaySink writes a response to a peer, with the request ID and the offset of
// each chunk. While idle it sends comments as heartbeats, so that the peer can
// tell a dead connection from a slow engine.
type relaySink struct {
	requestID string
	loads     func() []courier.Load

	mu      sync.Mutex
	w       http.ResponseWriter
	out     *bufio.Writer
	wrote   bool
	stopped bool
}

var _ office.Sink = (*relaySink)(nil)

func newRelaySink(w http.ResponseWriter, request string, loads func() []courier.Load) *relaySink {
	s := &relaySink{requestID: request, loads: loads, w: w, out: bufio.NewWriterSize(w, sinkBufferBytes)}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	return s
}

// Queued implements office.Sink.
func (s *relaySink) Queued() { s.writeResult(office.NewQueuedBody()) }

// Admitted implements office.Sink.
func (s *relaySink) Admitted(engine string, waited time.Duration) {
	s.writeResult(office.NewAdmittedBody(engine, waited))
}

// WriteChunk implements office.Sink.
func (s *relaySink) WriteChunk(chunk office.Chunk, more bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote = true
	_, _ = s.out.WriteString("id: ")
	_, _ = s.out.WriteString(s.requestID)
	_ = s.out.WriteByte('/')
	_, _ = s.out.WriteString(strconv.Itoa(chunk.Offset))
	_, _ = s.out.WriteString("\ndata: ")
	_, _ = s.out.Write(chunk.Data)
	_, err := s.out.WriteString("\n\n")
	if err != nil || more {
		return err
	}
	return s.flush()
}

func (s *relaySink) writeResult(b office.ResultBody) {
	b.Loads = s.loads()
	raw, err := json.Marshal(b)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote = true
	_, _ = s.out.WriteString("event: " + office.ResultEvent + "\ndata: ")
	_, _ = s.out.Write(raw)
	_, _ = s.out.WriteString("\n\n")
	_ = s.flush()
}

// wasIdle reports whether nothing was sent since the last call. A stream that
// is being written to isn't idle.
func (s *relaySink) wasIdle() bool {
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	idle := !s.wrote
	s.wrote = false
	return idle
}

// stop ends the heartbeats: none is written after it returns.
func (s *relaySink) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// heartbeat sends an empty comment.
func (s *relaySink) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	_, _ = s.out.WriteString(":\n\n")
	_ = s.flush()
}

func (s *relaySink) flush() error { return flushWithTimeout(s.w, s.out) }
