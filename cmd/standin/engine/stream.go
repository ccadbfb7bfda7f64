package engine

import (
	"sync"
	"time"
)

// maxUnreadTime is how long a stream without a reader is kept.
const maxUnreadTime = 10 * time.Second

// stream is one streamed response. The time of each token follows from its
// offset, so that a reader can resume at any offset.
type stream struct {
	id       string
	echoWord string
	total    int
	prompt   int
	cached   int
	start    time.Time
	interval time.Duration
	// ended is guarded by Engine.mu.
	ended bool

	mu       sync.Mutex
	readers  int
	leftAt   time.Time
	canceled chan struct{}
	once     sync.Once
}

// cancel ends the stream for all its readers.
func (s *stream) cancel() { s.once.Do(func() { close(s.canceled) }) }

// due returns when the token at the offset is ready.
func (s *stream) due(offset int) time.Time {
	return s.start.Add(time.Duration(offset) * s.interval)
}

func (s *stream) join() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

func (s *stream) leave(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.leftAt = now
}

// abandoned reports whether the stream had no reader for maxUnreadTime.
func (s *stream) abandoned(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && now.Sub(s.leftAt) > maxUnreadTime
}
