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

// heartbeatInterval is the time between two comments on a relayed stream on
// which nothing else is sent.
const heartbeatInterval = 2 * time.Second

// relaySink writes an answer to a peer, with the request and the offset of
// each piece. While there is nothing to send it sends comments, so that the
// peer can tell a silent connection from a slow engine.
type relaySink struct {
	request string
	loads   func() []courier.Load

	mu   sync.Mutex
	w    http.ResponseWriter
	out  *bufio.Writer
	busy bool
	done bool
}

var _ office.Sink = (*relaySink)(nil)

func newRelaySink(w http.ResponseWriter, request string, loads func() []courier.Load) *relaySink {
	s := &relaySink{request: request, loads: loads, w: w, out: bufio.NewWriterSize(w, sinkBufferBytes)}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	return s
}

// Queued implements office.Sink.
func (s *relaySink) Queued() { s.verdict(office.NewQueuedBody()) }

// Admitted implements office.Sink.
func (s *relaySink) Admitted(engine string, waited time.Duration) {
	s.verdict(office.NewAdmittedBody(engine, waited))
}

// WriteChunk implements office.Sink.
func (s *relaySink) WriteChunk(p office.Chunk, more bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = true
	_, _ = s.out.WriteString("id: ")
	_, _ = s.out.WriteString(s.request)
	_ = s.out.WriteByte('/')
	_, _ = s.out.WriteString(strconv.Itoa(p.Offset))
	_, _ = s.out.WriteString("\ndata: ")
	_, _ = s.out.Write(p.Data)
	_, err := s.out.WriteString("\n\n")
	if err != nil || more {
		return err
	}
	return s.flush()
}

func (s *relaySink) verdict(b office.ResultBody) {
	b.Loads = s.loads()
	raw, err := json.Marshal(b)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = true
	_, _ = s.out.WriteString("event: " + office.ResultEvent + "\ndata: ")
	_, _ = s.out.Write(raw)
	_, _ = s.out.WriteString("\n\n")
	_ = s.flush()
}

// quiet reports whether nothing was sent since the last call. A stream that is
// being written to is not quiet.
func (s *relaySink) quiet() bool {
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	quiet := !s.busy
	s.busy = false
	return quiet
}

// finish ends the heartbeats. Nothing is written after it.
func (s *relaySink) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
}

// heartbeat sends a comment.
func (s *relaySink) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	_, _ = s.out.WriteString(":\n\n")
	_ = s.flush()
}

func (s *relaySink) flush() error { return flushWithin(s.w, s.out) }
