package engine

import (
	"sync"
	"time"
)

// keepTime is how long a stream goes on without a reader.
const keepTime = 10 * time.Second

// stream is one answer in the making. Tokens come at fixed times, so that a
// reader can come back at any offset.
type stream struct {
	id       string
	word     string
	total    int
	prompt   int
	cached   int
	start    time.Time
	interval time.Duration
	// ended is guarded by the lock of the engine.
	ended bool

	mu       sync.Mutex
	readers  int
	leftAt   time.Time
	canceled chan struct{}
	once     sync.Once
}

// cancel ends the stream for good.
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

// abandoned reports whether nobody has read the stream for the keep time.
func (s *stream) abandoned(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && now.Sub(s.leftAt) > keepTime
}
